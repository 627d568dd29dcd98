package httpapi

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"sync"
)

// unmarshalerType is implemented by types that decode themselves; their fields are not checked.
var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// unknownField returns the first field of a JSON document that a value of type t has no place for, if there is one. The
// document must be valid. A json.Decoder reports such fields too, but copies the document, which takes up to three times its
// size.
func unknownField(document []byte, t reflect.Type) (name string, found bool) {
	s := fieldScanner{rest: document}
	s.value(t)
	if s.unknown == nil {
		return "", false
	}
	return *s.unknown, true
}

// fieldScanner walks through a valid JSON document.
type fieldScanner struct {
	rest    []byte
	unknown *string
}

// next skips white space and returns the next character, or 0 at the end.
func (s *fieldScanner) next() byte {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	if len(s.rest) == 0 {
		return 0
	}
	return s.rest[0]
}

// value skips a value that is decoded into the type t; nil if it is not decoded.
func (s *fieldScanner) value(t reflect.Type) {
	for t != nil && t.Kind() == reflect.Pointer && !t.Implements(unmarshalerType) {
		t = t.Elem()
	}
	if t != nil && (t.Implements(unmarshalerType) || reflect.PointerTo(t).Implements(unmarshalerType)) {
		t = nil
	}
	first := s.next()
	switch {
	case first == '{' && t != nil && (t.Kind() == reflect.Struct || t.Kind() == reflect.Map):
		s.object(t)
	case first == '[' && t != nil && (t.Kind() == reflect.Slice || t.Kind() == reflect.Array):
		s.elements(']', func() { s.value(t.Elem()) })
	default:
		s.skip()
	}
}

// skip skips a value without its fields. It does not call itself, because a document may be nested deeply.
func (s *fieldScanner) skip() {
	for depth := 0; ; {
		switch s.next() {
		case '{', '[':
			depth++
			s.rest = s.rest[1:]
		case '}', ']':
			depth--
			s.rest = s.rest[1:]
		case ',', ':':
			s.rest = s.rest[1:]
		case '"':
			s.rest = afterText(s.rest[1:])
		case 0:
			return
		default: // a number, true, false or null
			if end := bytes.IndexAny(s.rest, ",]} \t\r\n"); end >= 0 {
				s.rest = s.rest[end:]
			} else {
				s.rest = nil
			}
		}
		if depth == 0 {
			return
		}
	}
}

// object skips an object that is decoded into a struct or a map.
func (s *fieldScanner) object(t reflect.Type) {
	var fields map[string]reflect.Type // of a struct
	if t.Kind() == reflect.Struct {
		fields = fieldsOf(t)
	}
	s.elements('}', func() {
		start := s.rest
		s.rest = afterText(s.rest[1:])
		quoted := start[:len(start)-len(s.rest)]
		s.next() // the colon
		s.rest = s.rest[1:]
		if fields == nil {
			s.value(t.Elem())
			return
		}
		var name string
		_ = json.Unmarshal(quoted, &name) // the document is valid
		field, found := fields[strings.ToLower(name)]
		if !found && s.unknown == nil {
			s.unknown = &name
		}
		s.value(field)
	})
}

// elements skips the elements of an object or an array up to its end.
func (s *fieldScanner) elements(end byte, element func()) {
	s.rest = s.rest[1:]
	for {
		switch s.next() {
		case end:
			s.rest = s.rest[1:]
			return
		case ',':
			s.rest = s.rest[1:]
			s.next()
		case 0:
			return
		}
		element()
	}
}

// knownFields has the result of fieldsOf by type.
var knownFields sync.Map

// fieldsOf returns the types of the fields of a struct by their names in JSON, in lower case, with those of embedded structs.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if fields, found := knownFields.Load(t); found {
		return fields.(map[string]reflect.Type)
	}
	fields := findFields(t)
	knownFields.Store(t, fields)
	return fields
}

func findFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		embedded := f.Type
		if embedded.Kind() == reflect.Pointer {
			embedded = embedded.Elem()
		}
		switch {
		case name == "-":
		case f.Anonymous && name == "" && embedded.Kind() == reflect.Struct:
			for inner, innerType := range findFields(embedded) {
				if _, found := fields[inner]; !found {
					fields[inner] = innerType
				}
			}
		case f.IsExported():
			if name == "" {
				name = f.Name
			}
			fields[strings.ToLower(name)] = f.Type
		}
	}
	return fields
}
