package wire_test

import (
	"fmt"
	"testing"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

// startBatch returns n Start messages with a body of 200 bytes.
func startBatch(n int) []wire.Message {
	batch := make([]wire.Message, n)
	for i := range batch {
		batch[i] = &wire.Start{
			ID:               wire.StartID{Job: job.Key{Organisation: "swan-river", ID: "0196f0c2-7a51-7c1e-9b7a-2f6d2f1c8f11"}, Task: uint16(i)},
			AgentIncarnation: 1 << 60, Class: "method-scaling", Offer: uint64(i + 1),
			Task: job.Task{
				Method: "POST", Path: "/recipes/scale", Body: make([]byte, 200),
				Headers: []job.Header{{Name: "Content-Type", Value: "application/json"}},
				Need:    job.Resources{MilliProcessors: 500, MemoryBytes: 1 << 28},
			},
		}
	}
	return batch
}

func BenchmarkEncodeFrame(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		batch := startBatch(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := wire.EncodeFrame(batch); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecodeFrame(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		frame, err := wire.EncodeFrame(startBatch(n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := wire.DecodeFrame(frame); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFrame encodes into a reused frame, as a session does.
func BenchmarkFrame(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		batch := startBatch(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var frame wire.Frame
			b.ReportAllocs()
			for b.Loop() {
				frame.Reset()
				for _, message := range batch {
					if err := frame.Add(message); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
