package httpapi

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

type strictInner struct {
	Text    string            `json:"text"`
	Headers map[string]string `json:"headers"`
}

type strictEmbedded struct {
	Key string `json:"key"`
}

type strictTarget struct {
	strictEmbedded
	Name   string        `json:"name"`
	Tasks  []strictInner `json:"tasks"`
	Flag   *bool         `json:"flag"`
	Any    any           `json:"any"`
	Raw    json.RawMessage
	Hidden int `json:"-"`
}

// decoderAccepts reports what a json.Decoder decides.
func decoderAccepts(document string) bool {
	decoder := json.NewDecoder(strings.NewReader(document))
	decoder.DisallowUnknownFields()
	return decoder.Decode(&strictTarget{}) == nil
}

// Guards against a field that is accepted although nothing reads it, or refused although it is known.
func TestUnknownFields(t *testing.T) {
	expect := gomega.NewWithT(t)
	for document, unknown := range map[string]string{
		`{}`: "", `{"name":"a","NAME":"b","key":"k","flag":null}`: "",
		`{"tasks":[{"text":"}]\"{","headers":{"any":"thing"}},{}],"any":{"x":[{"y":1}]},"raw":{"z":{}}}`: "",
		" { \"name\" : \"a\" , \"tasks\" : [ ] } ":                                                       "",
		`{"name":"a","other":1}`: "other", `{"tasks":[{"text":"a"},{"texts":"b"}]}`: "texts", `{"hidden":1}`: "hidden", `{"Hidden":1}`: "Hidden",
		`{"n\u0061me":"a"}`: "", `{"any":{"other":1},"x":2}`: "x", `{"tasks":[{"headers":{"a":"b"},"c":{}}]}`: "c",
	} {
		name, found := unknownField([]byte(document), reflect.TypeFor[*strictTarget]())
		expect.Expect(name).To(gomega.Equal(unknown), document)
		expect.Expect(found).To(gomega.Equal(unknown != ""), document)
		expect.Expect(decoderAccepts(document)).To(gomega.Equal(unknown == ""), document)
	}
}

// Guards against a valid document for which the check of its fields fails or does not end, or differs from json.Decoder.
func FuzzUnknownFields(f *testing.F) {
	f.Add([]byte(`{"name":"a","tasks":[{"text":"b","headers":{"c":"d"}}],"flag":true,"any":[1.5e3,null],"raw":{}}`))
	f.Add([]byte(`{"other":[[],{}," \\\" "]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		var target strictTarget
		if json.Unmarshal(document, &target) != nil {
			return
		}
		name, found := unknownField(document, reflect.TypeFor[strictTarget]())
		// The decoder also accepts letters that fold to others outside of ASCII.
		ascii := bytes.IndexFunc(document, func(r rune) bool { return r >= 0x80 }) < 0 && !bytes.Contains(document, []byte(`\u`))
		if ascii && decoderAccepts(string(document)) != !found {
			t.Fatalf("unknown field %q (%v), the decoder decides otherwise", name, found)
		}
	})
}
