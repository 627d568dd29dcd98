// Package auth authenticates the callers of the HTTP API. Tokens are read from a file separate from
// the settings and are held in memory only as SHA-256 digests; no error and no log line contains a
// token.
package auth

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"os"
	"strings"

	"pollenpaddle/internal/failure"
)

const (
	// minTokenBytes excludes tokens that are short enough to be guessed.
	minTokenBytes = 16
	// maxTokenBytes limits the cost of hashing a token sent by a caller.
	maxTokenBytes = 512
	// forbiddenMode holds the permission bits that give other users access to the token file.
	forbiddenMode = 0o077
	bearerPrefix  = "Bearer "
)

// Tokens is the set of valid tokens. The zero value trusts every caller.
type Tokens struct {
	known []knownToken
}

type knownToken struct {
	digest    [sha256.Size]byte
	principal Principal
}

// Principal is an authenticated caller.
type Principal struct {
	operator     bool
	trusted      bool // there is no token file; everything is permitted
	organisation string
}

// Operator reports whether the caller may change the configuration.
func (p Principal) Operator() bool { return p.operator || p.trusted }

// MayActFor reports whether the caller may submit, read and cancel jobs of the organisation. An
// operator token does not permit this.
func (p Principal) MayActFor(organisation string) bool {
	return p.trusted || p.organisation != "" && p.organisation == organisation
}

// Organisation returns the organisation of the caller's token, or "" for operators and trusted
// callers.
func (p Principal) Organisation() string { return p.organisation }

// RequireOperator returns PermissionDenied unless the caller is an operator.
func (p Principal) RequireOperator() error {
	if p.Operator() {
		return nil
	}
	return failure.New(failure.PermissionDenied, "send an operator token", "the token of organisation %q does not cover this operation", p.organisation)
}

// RequireOrganisation returns PermissionDenied unless the caller may act for the organisation.
func (p Principal) RequireOrganisation(organisation string) error {
	if p.MayActFor(organisation) {
		return nil
	}
	return failure.New(failure.PermissionDenied, "send the token of that organisation", "the token does not cover organisation %q", organisation)
}

// Load reads a token file. Each line is "operator TOKEN" or "organisation NAME TOKEN"; empty lines
// and lines that start with # are ignored. Several lines may name the same organisation, so that a
// token can be rotated without an interruption. With an empty path, every caller is trusted.
func Load(path string) (*Tokens, error) {
	if path == "" {
		return &Tokens{}, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, failure.New(failure.InvalidArgument, "set token_file to a readable file", "cannot read the token file: %v", err)
	}
	if !info.Mode().IsRegular() || info.Mode().Perm()&forbiddenMode != 0 {
		return nil, failure.New(failure.InvalidArgument, "name a regular file in token_file and run chmod 600 on it", "token file %s has mode %v; it must be a regular file to which other users have no access", path, info.Mode())
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.New(failure.InvalidArgument, "set token_file to a readable file", "cannot read the token file: %v", err)
	}
	return parse(path, content)
}

func parse(path string, content []byte) (*Tokens, error) {
	t := &Tokens{}
	seen := map[[sha256.Size]byte]bool{}
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		token, principal, problem := parseLine(fields)
		digest := sha256.Sum256([]byte(token))
		if problem == "" && seen[digest] {
			problem = "the token is used on an earlier line"
		}
		if problem != "" {
			return nil, failure.New(failure.InvalidArgument, `write "operator TOKEN" or "organisation NAME TOKEN" with tokens of 16 to 512 bytes`, "%s, line %d: %s", path, line, problem)
		}
		seen[digest] = true
		t.known = append(t.known, knownToken{digest: digest, principal: principal})
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.New(failure.InvalidArgument, "keep lines under 64 KiB", "cannot read the token file %s: %v", path, err)
	}
	if len(t.known) == 0 {
		return nil, failure.New(failure.InvalidArgument, "add a line with an operator token, or remove token_file from the settings", "token file %s holds no token", path)
	}
	return t, nil
}

// parseLine returns the token of a line and its principal, or a description of the problem.
func parseLine(fields []string) (token string, principal Principal, problem string) {
	switch {
	case fields[0] == "operator" && len(fields) == 2:
		token, principal = fields[1], Principal{operator: true}
	case fields[0] == "organisation" && len(fields) == 3:
		token, principal = fields[2], Principal{organisation: fields[1]}
	default:
		return "", Principal{}, "the line is malformed"
	}
	if len(token) < minTokenBytes || len(token) > maxTokenBytes {
		return "", Principal{}, "the token is too short or too long"
	}
	return token, principal, ""
}

// TrustsAll reports whether there is no token file, so that every caller is trusted.
func (t *Tokens) TrustsAll() bool { return len(t.known) == 0 }

// Authenticate returns the principal of an Authorization header ("Bearer TOKEN"), or
// Unauthenticated. Its running time does not depend on which token matches.
func (t *Tokens) Authenticate(header string) (Principal, error) {
	if t.TrustsAll() {
		return Principal{trusted: true}, nil
	}
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || len(token) > maxTokenBytes {
		return Principal{}, unauthenticated("the request carries no bearer token")
	}
	digest := sha256.Sum256([]byte(token))
	match := -1
	for i := range t.known {
		equal := subtle.ConstantTimeCompare(digest[:], t.known[i].digest[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return Principal{}, unauthenticated("the token is unknown")
	}
	return t.known[match].principal, nil
}

func unauthenticated(message string) error {
	return failure.New(failure.Unauthenticated, "send the header Authorization: Bearer TOKEN with a token from the token file", "%s", message)
}

// RequireLoopback returns InvalidArgument unless address (host:port) is a loopback address, which
// other machines cannot reach. A daemon without a token file or a key file must pass this check
// unless its network is trusted.
func RequireLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err == nil {
		if ip := net.ParseIP(host); host == "localhost" || ip != nil && ip.IsLoopback() {
			return nil
		}
	}
	return failure.New(failure.InvalidArgument, "set token_file and key_file in the section [process], or listen on 127.0.0.1", "listen address %q can be reached from other machines, and callers or processes would not be authenticated", address)
}
