package replication_test

import (
	"reflect"
	"testing"
	"time"

	"pollenpaddle/internal/version/replication"
)

// FuzzDecodeMessage guards against messages that crash the decoder or the core, and against a codec
// that loses fields.
func FuzzDecodeMessage(f *testing.F) {
	entries := []replication.Entry{{Term: 1, Index: 1, Kind: replication.EntryConfiguration, Data: replication.EncodeConfiguration(replication.Configuration{Group: 1})}, {Term: 2, Index: 2, Kind: replication.EntryNoop}}
	for _, m := range []replication.Message{
		{Type: replication.MessageAppend, From: 1, To: 5, Term: 2, Entries: entries, Commit: 2},
		{Type: replication.MessageHeartbeat, From: 1, To: 5, Term: 2, Round: 3},
		{Type: replication.MessageVote, From: 1, To: 5, Term: 3, Index: 4, LogTerm: 2},
		{Type: replication.MessageSnapshot, From: 1, To: 5, Term: 3, Chunk: &replication.Chunk{Index: 9, Term: 2, Total: 3, Data: []byte("abc")}},
		{Type: replication.MessageBasis, From: 1, To: 5, Term: 3, Sent: time.Second, Age: time.Millisecond, Run: 1},
		{Type: replication.MessageJoin, From: 1, FromName: "control-2"},
	} {
		data, err := replication.EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := replication.DecodeMessage(data)
		if err != nil {
			return
		}
		again, err := replication.EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := replication.DecodeMessage(again); err != nil || !reflect.DeepEqual(m, second) {
			t.Fatalf("%+v decodes as %+v after it was encoded again: %v", m, second, err)
		}
		core := replication.New(time.Second, replication.Options{Identity: 5, Name: "control-1", Incarnation: 1}, replication.Recovered{})
		m.To = 5
		core.Step(2*time.Second, replication.Received{Message: m})
		core.Step(3*time.Second, replication.Synced{Sequence: 1})
		core.Step(4*time.Second, replication.Tick{})
	})
}
