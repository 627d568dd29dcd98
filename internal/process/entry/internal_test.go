package entry

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/auth"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/request/tracker"
	"pollenpaddle/internal/version/catalog"
)

// FuzzSubmission guards against accepted bodies that exceed a limit, and against rejections without a
// kind or a remedy.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(`{"class":"c","organisation":"o","tasks":[{"path":"/a","headers":{"X":"y"},"text":"t"}]}`))
	f.Add([]byte(`{"class":"c","organisation":"o","id":"x","submitted_at":1,"tasks":[{"path":"/a","body":"eA==","processors":0.5}]}`))
	f.Add([]byte(`{"class":"c","organisation":"o","id":"01880000-0000-7abc-8def-0123456789ab","tasks":[{"path":"//"}]}`))
	f.Add([]byte(`{"tasks":[{"processors":1e308,"memory":-1,"expected_ms":9223372036854775807}]}`))
	e := New(Config{})
	trusted, err := (&auth.Tokens{}).Authenticate("")
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetBody(content)
		var body SubmissionBody
		var s *job.Submission
		err := httpapi.ReadJSON(ctx, &body)
		if err == nil {
			s, _, err = e.toSubmission(&body, trusted)
		}
		if err != nil {
			typed, ok := err.(*failure.Error)
			if !ok || typed.Remedy == "" || typed.Kind == failure.Internal {
				t.Fatalf("rejected with %v; want a typed error with a remedy", err)
			}
			return
		}
		if err := job.Validate(s, e.config.Limits); err != nil || s.SubmittedAt <= 0 || len(s.Tasks) != len(body.Tasks) {
			t.Fatalf("accepted %+v (job.Validate returned %v); want a valid submission with a time and every task of the body", s, err)
		}
	})
}

// TestPaging guards against results that lose or repeat bytes when they are sent in parts.
func TestPaging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := &tracker.View{Phase: tracker.Complete, Class: "c", SubmittedAt: 5}
		for range rapid.IntRange(1, 6).Draw(t, "tasks") {
			size := rapid.SampledFrom([]int{0, 1, wire.MaxReplyBytes - 1, wire.MaxReplyBytes, wire.MaxReplyBytes + 1, 5 * wire.MaxReplyBytes / 2}).Draw(t, "size")
			r := job.Result{State: job.Done, Status: 200, Headers: []job.Header{{Name: "A", Value: "b"}}}
			if size > 0 {
				r.Body = make([]byte, size)
				r.Body[0], r.Body[size-1] = byte(len(view.Results)+1), 9
			}
			view.Results = append(view.Results, r)
		}
		got := &tracker.View{Results: make([]job.Result, len(view.Results))}
		var position wire.JobPosition
		for rounds := 0; position.Task < len(view.Results); rounds++ {
			reply := jobReply(view, position)
			size := 0
			for _, part := range reply.Parts {
				size += len(part.Result.Body)
				if !addPart(got, part) {
					t.Fatalf("part of task %d is invalid", part.Task)
				}
			}
			if size > wire.MaxReplyBytes || rounds > 20 {
				t.Fatalf("reply %d, counted from 0, has %d body bytes; want at most 21 replies of at most wire.MaxReplyBytes", rounds, size)
			}
			position = reply.Next
		}
		if !reflect.DeepEqual(got.Results, view.Results) {
			t.Fatal("the results differ after paging")
		}
	})
}

// TestStoredMinimum guards against a start after a crash that uses the minimum of an earlier clean stop.
func TestStoredMinimum(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	expect := func(want storedMinimum) {
		t.Helper()
		if got, err := readMinimum(folder); err != nil || got != want {
			t.Fatalf("read %+v, %v; want %+v", got, err, want)
		}
	}
	expect(storedMinimum{Clean: true})
	e := New(Config{ClaimMinimumFolder: folder})
	registrar, err := e.newRegistrar()
	if err != nil {
		t.Fatal(err)
	}
	expect(storedMinimum{})
	e.registrar = registrar
	if err := e.storeMinimum(); err != nil {
		t.Fatal(err)
	}
	expect(storedMinimum{Clean: true, Minimum: registrar.Minimum()})
	if err := os.WriteFile(filepath.Join(folder, minimumFile), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	expect(storedMinimum{})
}

// TestPossibleEntryChanges guards against a missed change to the list of entries, and against changes
// of classes, organisations or zones that delay claims.
func TestPossibleEntryChanges(t *testing.T) {
	before := &catalog.State{Revision: 5, Classes: []catalog.Class{{Name: "a", Revision: 4}}}
	after := &catalog.State{
		Revision: 9, Classes: []catalog.Class{{Name: "a", Revision: 4}, {Name: "b", Revision: 6}},
		Organisations:     []catalog.Organisation{{Name: "o", Revision: 7}},
		AvailabilityZones: []catalog.AvailabilityZone{{Name: "z", Revision: 9}},
	}
	if got := possibleEntryChanges(before, after); got != 1 {
		t.Fatalf("%d changes, want 1 (revision 8)", got)
	}
	if got := possibleEntryChanges(nil, after); got != 9 {
		t.Fatalf("%d changes without an earlier configuration, want 9", got)
	}
}
