package catalog_test

import (
	"reflect"
	"testing"

	"pollenpaddle/internal/version/catalog"
)

// FuzzDecodeCommand guards against data that causes a panic, and against a decoded command that
// changes when it is encoded and decoded again.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []catalog.Command{operator(catalog.SetZone{Name: "a", Out: true}), {Operation: catalog.AnnounceZone{Name: "a"}}} {
		data, _ := c.Encode()
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		catalog.New().Apply(data)
		c, err := catalog.DecodeCommand(data)
		if err != nil {
			return
		}
		encoded, err := c.Encode()
		if err != nil {
			t.Fatalf("decoded command cannot be encoded: %v", err)
		}
		if again, err := catalog.DecodeCommand(encoded); err != nil || !reflect.DeepEqual(again, c) {
			t.Fatalf("command changed from %+v to %+v: %v", c, again, err)
		}
	})
}

// FuzzDecodeSnapshot guards against data that causes a panic, and against a decoded state machine
// that cannot be encoded.
func FuzzDecodeSnapshot(f *testing.F) {
	m := catalog.New()
	data, _ := operator(putOrganisation("a", 1)).Encode()
	m.Apply(data)
	m.Apply(data[:1])
	snapshot, _ := m.Encode()
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := catalog.Decode(data)
		if err != nil {
			return
		}
		if _, err := m.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
