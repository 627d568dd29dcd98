package main

import (
	"fmt"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

var (
	jsonHeaders = []job.Header{{Name: "Content-Type", Value: "application/json"}}
	messageKey  = job.Key{Organisation: "swan-river", ID: "0196f0c2-7a51-7c1e-9b7a-2f6d2f1c8f11"}
)

func startID(i int) wire.StartID { return wire.StartID{Job: messageKey, Task: uint16(i)} }

// messageKinds are the messages whose number grows with the load. Bodies have 200 bytes; times and
// incarnations are as large as in a running daemon.
var messageKinds = []struct {
	name string
	make func(i int) wire.Message
}{
	{"Start", func(i int) wire.Message {
		return &wire.Start{
			ID: startID(i), AgentIncarnation: 1 << 60, Class: "method-scaling", Offer: uint64(i + 1),
			Task: job.Task{
				Method: "POST", Path: "/recipes/scale", Body: make([]byte, 200), Headers: jsonHeaders,
				Need: job.Resources{MilliProcessors: 500, MemoryBytes: 1 << 28},
			},
		}
	}},
	{"Finished", func(i int) wire.Message {
		return &wire.Finished{ID: startID(i), Result: job.Result{
			State: job.Done, Status: 200, Headers: jsonHeaders, Body: make([]byte, 200), RunTime: 100 * time.Millisecond,
		}}
	}},
	{"FinishedAck", func(i int) wire.Message { return &wire.FinishedAck{ID: startID(i)} }},
	{"Offer", func(i int) wire.Message { return &wire.Offer{IDs: []uint64{uint64(1<<20 + i)}} }},
	{"Load", func(int) wire.Message { return &wire.Load{Free: 8} }},
	{"Announce", func(i int) wire.Message {
		return &wire.Announce{
			Upstream: "recipes", Rack: fmt.Sprintf("rack-%05d", i), Slots: 8, Connections: 64,
			Capacity: job.Resources{MilliProcessors: 64_000, MemoryBytes: 256 << 30, Accelerators: 2}, TTL: 3 * time.Second,
		}
	}},
	{"Claim", func(int) wire.Message {
		return &wire.Claim{Key: messageKey, SubmittedAt: wallStart, Attempt: 1 << 20, EntriesDigest: 1 << 60}
	}},
	{"ClaimReply", func(int) wire.Message {
		return &wire.ClaimReply{Key: messageKey, SubmittedAt: wallStart, Attempt: 1 << 20, Outcome: wire.ClaimGranted}
	}},
	{"LeasePoll", func(int) wire.Message { return &wire.LeasePoll{Sent: 240 * hour, Revision: 1 << 20} }},
	{"LeaseGrant", func(int) wire.Message {
		return &wire.LeaseGrant{Sent: 240 * hour, Revision: 1 << 20, Age: 100 * time.Millisecond, Group: 1 << 60}
	}},
}

func measureWire(s *suite) error {
	for _, kind := range messageKinds {
		var points []point
		for _, size := range []int{1, 2, 4, 16, 64, 256} {
			frame, err := wire.EncodeFrame(batch(size, kind.make))
			if err != nil {
				return err
			}
			points = append(points, point{float64(size), float64(len(frame))})
		}
		if err := s.addSlope("wire bytes per "+kind.name, "bytes/message", "frames of 1-256 messages; the intercept is the frame header", points); err != nil {
			return err
		}
	}
	var usage []point
	for _, size := range []int{16, 64, 256, 710} {
		report := &wire.UsageReport{}
		for i := range size {
			report.Organisations = append(report.Organisations, wire.OrganisationUsage{Name: fmt.Sprintf("organisation-%05d", i), Running: 300, Queued: 30})
		}
		frame, err := wire.EncodeFrame([]wire.Message{report})
		if err != nil {
			return err
		}
		usage = append(usage, point{float64(size), float64(len(frame))})
	}
	if err := s.addSlope("wire bytes per organisation in UsageReport", "bytes/organisation", "one report", usage); err != nil {
		return err
	}
	for _, kind := range messageKinds {
		for _, size := range []int{1, 16, 256} {
			if err := measureCodec(s, kind.name, size, batch(size, kind.make)); err != nil {
				return err
			}
		}
	}
	return nil
}

func batch(size int, newMessage func(int) wire.Message) []wire.Message {
	messages := make([]wire.Message, size)
	for i := range messages {
		messages[i] = newMessage(i)
	}
	return messages
}

// measureCodec measures the time per message, not per frame. The base count is a multiple of every
// batch size.
func measureCodec(s *suite, name string, size int, messages []wire.Message) error {
	const base = 4096
	var frame wire.Frame
	err := s.measureTime(fmt.Sprintf("encode %s, batch of %d", name, size), "µs/message", "into a reused frame", base, func(count int) error {
		for range count / size {
			frame.Reset()
			for _, message := range messages {
				if err := frame.Add(message); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	encoded, err := wire.EncodeFrame(messages)
	if err != nil {
		return err
	}
	return s.measureTime(fmt.Sprintf("decode %s, batch of %d", name, size), "µs/message", "", base, func(count int) error {
		for range count / size {
			if _, err := wire.DecodeFrame(encoded); err != nil {
				return err
			}
		}
		return nil
	})
}
