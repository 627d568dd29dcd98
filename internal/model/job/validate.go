package job

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/google/uuid"

	"pollenpaddle/internal/failure"
)

// MaxClockSkew is the maximum time by which a submission time may be ahead of the wall clock of the
// entry that receives the submission.
const MaxClockSkew = 5 * time.Second

// Limits bound a submission. Validate uses the fields as they are; WithDefaults sets the defaults.
type Limits struct {
	Tasks       int // at most MaxTasks
	Headers     int // number of header fields of one task
	HeaderBytes int // total size of the header names and values of one task
	BodyBytes   int // size of the body of one task
	PathBytes   int
}

// Defaults of Limits, and fixed limits.
const (
	DefaultHeaders     = 64
	DefaultHeaderBytes = 16 << 10
	DefaultBodyBytes   = 8 << 20
	DefaultPathBytes   = 4 << 10
	// maxNameBytes bounds the names of classes and organisations.
	maxNameBytes = 128
	// maxMethodBytes bounds the method of a task.
	maxMethodBytes = 16
	// maxDeclaredRunTime bounds the declared run time of a task.
	maxDeclaredRunTime = 24 * time.Hour
)

// WithDefaults returns the limits with defaults in place of zero and negative fields, and of Tasks above
// MaxTasks.
func (l Limits) WithDefaults() Limits {
	if l.Tasks <= 0 || l.Tasks > MaxTasks {
		l.Tasks = MaxTasks
	}
	if l.Headers <= 0 {
		l.Headers = DefaultHeaders
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.PathBytes <= 0 {
		l.PathBytes = DefaultPathBytes
	}
	return l
}

// ResolveTime returns the submission time of a submission in milliseconds since the Unix epoch. A
// UUID of version 7 contains its own time, which submittedAt must equal unless it is zero (not
// given). For any other id submittedAt is required.
func ResolveTime(id string, submittedAt int64) (int64, error) {
	if embedded, ok := embeddedTime(id); ok {
		if submittedAt != 0 && submittedAt != embedded {
			return 0, failure.New(failure.InvalidArgument, "omit submitted_at or send the time that the id contains",
				"submitted_at is %d, but the id %q contains the time %d", submittedAt, id, embedded)
		}
		return embedded, nil
	}
	if submittedAt <= 0 {
		return 0, failure.New(failure.InvalidArgument, "send submitted_at in milliseconds since the Unix epoch, or use a UUID of version 7 as the id",
			"the id %q contains no submission time", id)
	}
	return submittedAt, nil
}

// embeddedTime returns the time of a UUID of version 7 in canonical form. A UUID in another form is
// a distinct id and is treated as plain text.
func embeddedTime(id string) (int64, bool) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 || parsed.String() != id {
		return 0, false
	}
	var millis int64
	for _, b := range parsed[:6] {
		millis = millis<<8 | int64(b)
	}
	return millis, millis > 0
}

// CheckTime rejects a submission time that is more than MaxClockSkew ahead of the entry's wall
// clock.
func CheckTime(submittedAt, wallMillis int64) error {
	if submittedAt > wallMillis+MaxClockSkew.Milliseconds() {
		return failure.New(failure.InvalidArgument, "synchronise the caller's clock, or send the current time",
			"the submission time %d is more than %s ahead of the server's clock; nothing was run", submittedAt, MaxClockSkew)
	}
	return nil
}

// ValidateID returns InvalidArgument unless id is 1 to 64 bytes of printable UTF-8 text.
func ValidateID(id string) error {
	if id == "" || len(id) > MaxIDBytes || !printable(id) {
		return failure.New(failure.InvalidArgument, "use 1 to 64 bytes of printable UTF-8 text", "the id is empty, too long or not printable (%d bytes)", len(id))
	}
	return nil
}

// Validate checks every field of a submission against the limits. It returns a *failure.Error of
// kind InvalidArgument or TooLarge.
func Validate(s *Submission, limits Limits) error {
	if err := ValidateID(s.Key.ID); err != nil {
		return err
	}
	if err := validateName("class", s.Class); err != nil {
		return err
	}
	if err := validateName("organisation", s.Key.Organisation); err != nil {
		return err
	}
	if len(s.Tasks) == 0 || len(s.Tasks) > limits.Tasks {
		return failure.New(failure.InvalidArgument, "send at least one task, or split the work into several submissions", "the submission has %d tasks; the number must be between 1 and %d", len(s.Tasks), limits.Tasks)
	}
	for i := range s.Tasks {
		if err := validateTask(i, &s.Tasks[i], limits); err != nil {
			return err
		}
	}
	return nil
}

func validateName(what, name string) error {
	if name == "" || len(name) > maxNameBytes || !printable(name) {
		return failure.New(failure.InvalidArgument, "send the name of a configured "+what, "the name of the %s is empty, too long or not printable (%d bytes)", what, len(name))
	}
	return nil
}

func validateTask(index int, t *Task, limits Limits) error {
	if len(t.Method) > maxMethodBytes || !isToken(t.Method) {
		return failure.New(failure.InvalidArgument, "use an HTTP method such as GET or POST", "task %d: the method is not valid", index)
	}
	if t.Method == "CONNECT" || t.Method == "TRACE" {
		return failure.New(failure.InvalidArgument, "use GET, POST or another method that returns an ordinary response", "task %d: the method %s is not supported", index, t.Method)
	}
	if len(t.Path) > limits.PathBytes {
		return failure.New(failure.TooLarge, "shorten the path", "task %d: the path has %d bytes; the limit is %d", index, len(t.Path), limits.PathBytes)
	}
	if !validPath(t.Path) {
		return failure.New(failure.InvalidArgument, "start the path with one / and percent-encode spaces, control characters, #, \\ and all characters outside ASCII", "task %d: the path is not valid", index)
	}
	if len(t.Body) > limits.BodyBytes {
		return failure.New(failure.TooLarge, "send a smaller body", "task %d: the body has %d bytes; the limit is %d", index, len(t.Body), limits.BodyBytes)
	}
	if t.Need.MilliProcessors < 0 || t.Need.MemoryBytes < 0 || t.Need.Accelerators < 0 {
		return failure.New(failure.InvalidArgument, "send zero or a positive amount", "task %d: processors, memory or accelerators are negative", index)
	}
	if t.DeclaredRunTime < 0 || t.DeclaredRunTime > maxDeclaredRunTime {
		return failure.New(failure.InvalidArgument, "send expected_ms between 0 and one day", "task %d: the declared run time (expected_ms) is out of range", index)
	}
	return validateHeaders(index, t.Headers, limits)
}

// reservedHeaders apply to one connection, or to the framing, the target (host) or the interim response
// (expect) of one message. A caller may not set them, because such a value could be used for request
// smuggling.
var reservedHeaders = []string{
	"connection", "content-length", "expect", "host", "keep-alive", "proxy-connection", "te",
	"trailer", "transfer-encoding", "upgrade",
}

func validateHeaders(index int, headers []Header, limits Limits) error {
	if len(headers) > limits.Headers {
		return failure.New(failure.TooLarge, "send fewer headers", "task %d has %d headers; the limit is %d", index, len(headers), limits.Headers)
	}
	size := 0
	for _, h := range headers {
		if !isToken(h.Name) || !validHeaderValue(h.Value) {
			return failure.New(failure.InvalidArgument, "use an HTTP token as the name and a value without control characters", "task %d: a header is not valid", index)
		}
		for _, reserved := range reservedHeaders {
			if strings.EqualFold(h.Name, reserved) {
				return failure.New(failure.InvalidArgument, "remove the header", "task %d: the header %s is reserved", index, reserved)
			}
		}
		size += len(h.Name) + len(h.Value)
	}
	if size > limits.HeaderBytes {
		return failure.New(failure.TooLarge, "send smaller headers", "task %d: the headers have %d bytes; the limit is %d", index, size, limits.HeaderBytes)
	}
	return nil
}

func printable(text string) bool {
	if !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// isToken reports whether text is a token as defined in RFC 9110.
func isToken(text string) bool {
	for i := range len(text) {
		b := text[i]
		alphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return text != ""
}

// validPath reports whether path is in origin form: a path and an optional query. It must start
// with exactly one slash, because two would be parsed as an authority.
func validPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] >= 0x7f || path[i] == '#' || path[i] == '\\' {
			return false
		}
	}
	return true
}

func validHeaderValue(value string) bool {
	for i := range len(value) {
		if value[i] < ' ' && value[i] != '\t' || value[i] == 0x7f {
			return false
		}
	}
	return true
}
