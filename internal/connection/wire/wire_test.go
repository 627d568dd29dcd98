package wire_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func TestWire(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "wire")
}

// fill sets the exported fields of v to values drawn with rapid. Interfaces remain nil.
func fill(t *rapid.T, v reflect.Value) {
	if v.Type() == reflect.TypeFor[cbor.RawMessage]() {
		v.SetBytes([]byte{0x05}) // must be valid CBOR
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i))
			}
		}
	case reflect.Pointer:
		if rapid.Bool().Draw(t, "set") {
			v.Set(reflect.New(v.Type().Elem()))
			fill(t, v.Elem())
		}
	case reflect.Slice:
		if n := rapid.IntRange(0, 3).Draw(t, "length"); n > 0 {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
			for i := range n {
				fill(t, v.Index(i))
			}
		}
	case reflect.String:
		v.SetString(rapid.String().Draw(t, "string"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "bool"))
	case reflect.Float64:
		v.SetFloat(rapid.Float64().Draw(t, "float"))
	case reflect.Int, reflect.Int64:
		v.SetInt(rapid.Int64().Draw(t, "int"))
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(rapid.Uint64().Draw(t, "uint") & (1<<v.Type().Bits() - 1))
	}
}

var _ = ginkgo.Describe("a frame", func() {
	// Guards against fields that are lost or swapped on the wire, and against messages that reference
	// the buffer from which they were decoded.
	ginkgo.It("decodes to the messages that were encoded", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			types := wire.EmptyMessages()
			messages := make([]wire.Message, rapid.IntRange(0, 5).Draw(t, "count"))
			for i := range messages {
				messageType := reflect.TypeOf(rapid.SampledFrom(types).Draw(t, "type")).Elem()
				value := reflect.New(messageType)
				fill(t, value.Elem())
				messages[i] = value.Interface().(wire.Message)
			}
			frame, err := wire.EncodeFrame(messages)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := wire.DecodeFrame(frame)
			if err != nil {
				t.Fatal(err)
			}
			clear(frame)
			if len(decoded) != len(messages) || len(messages) > 0 && !reflect.DeepEqual(decoded, messages) {
				t.Fatalf("got %+v, want %+v", decoded, messages)
			}
		})
	})

	// Guards against a session that ends because an upstream sent a header that is not UTF-8.
	ginkgo.It("preserves text that is not UTF-8", func() {
		finished := &wire.Finished{Result: job.Result{Headers: []job.Header{{Name: "X-Station", Value: "\xd6rebro"}}}}
		frame, err := wire.EncodeFrame([]wire.Message{finished})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(wire.DecodeFrame(frame)).To(gomega.Equal([]wire.Message{finished}))
	})

	// Guards against a sender that builds a frame beyond the receiver's limits.
	ginkgo.It("rejects messages beyond its limits and remains usable", func() {
		var frame wire.Frame
		large := &wire.Start{}
		large.Task.Body = make([]byte, wire.MaxFrameBytes)
		gomega.Expect(frame.Add(&wire.Ping{})).To(gomega.Succeed())
		gomega.Expect(failure.KindOf(frame.Add(large))).To(gomega.Equal(failure.TooLarge))
		for range wire.MaxFrameMessages - 1 {
			gomega.Expect(frame.Add(&wire.Ping{})).To(gomega.Succeed())
		}
		gomega.Expect(failure.KindOf(frame.Add(&wire.Ping{}))).To(gomega.Equal(failure.TooLarge))
		messages, err := wire.DecodeFrame(frame.Bytes())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(messages).To(gomega.HaveLen(wire.MaxFrameMessages))
	})

	// Guards against a short frame that causes a large allocation or is accepted in spite of missing
	// data.
	ginkgo.DescribeTable("is rejected if it", func(frame ...byte) {
		_, err := wire.DecodeFrame(frame)
		gomega.Expect(failure.KindOf(err)).To(gomega.Or(gomega.Equal(failure.InvalidArgument), gomega.Equal(failure.TooLarge)))
	},
		ginkgo.Entry("is empty"),
		ginkgo.Entry("is not an array", byte(0x01)),
		ginkgo.Entry("announces four billion messages", byte(0x9a), byte(0xff), byte(0xff), byte(0xff), byte(0xff)),
		ginkgo.Entry("announces a message that is missing", byte(0x81)),
		ginkgo.Entry("contains an unknown type", byte(0x81), byte(0x82), byte(0x18), byte(0xff), byte(0x80)),
		ginkgo.Entry("has data after the last message", byte(0x81), byte(0x82), byte(0x03), byte(0x81), byte(0x00), byte(0x00)),
		ginkgo.Entry("has an indefinite length", byte(0x9f), byte(0xff)),
	)
})

var _ = ginkgo.Describe("the message types", func() {
	// Guards against message types in different files that have the same number.
	ginkgo.It("are registered under unique numbers", func() {
		declared := regexp.MustCompile(`(?m)^\s*(Type\w+)\s+Type\s*=\s*(\d+)`)
		files, err := filepath.Glob("*.go")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		names := map[int]string{}
		for _, file := range files {
			source, err := os.ReadFile(file)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for _, match := range declared.FindAllSubmatch(source, -1) {
				number, err := strconv.Atoi(string(match[2]))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(names).NotTo(gomega.HaveKey(number), "%s and %s", names[number], match[1])
				names[number] = string(match[1])
				gomega.Expect(wire.Registered(wire.Type(number))).To(gomega.BeTrue(), string(match[1]))
			}
		}
		gomega.Expect(names).To(gomega.HaveLen(len(wire.EmptyMessages())))
	})
})

// checkDecoded decodes an arbitrary frame. An accepted frame must be encodable and decodable again.
func checkDecoded(t *testing.T, frame []byte) {
	messages, err := wire.DecodeFrame(frame)
	if err != nil {
		if kind := failure.KindOf(err); kind != failure.InvalidArgument && kind != failure.TooLarge {
			t.Fatalf("error of kind %s, want invalid_argument or too_large: %v", kind, err)
		}
		return
	}
	encoded, err := wire.EncodeFrame(messages)
	if err != nil {
		t.Fatal(err)
	}
	again, err := wire.DecodeFrame(encoded)
	if err != nil || len(again) != len(messages) {
		t.Fatalf("%d messages became %d: %v", len(messages), len(again), err)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	frame, err := wire.EncodeFrame(wire.EmptyMessages())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	if frame, err = wire.EncodeFrame(startBatch(2)); err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(checkDecoded)
}

// FuzzMessage decodes arbitrary bodies of each message type.
func FuzzMessage(f *testing.F) {
	for _, message := range append(wire.EmptyMessages(), startBatch(1)...) {
		frame, err := wire.EncodeFrame([]wire.Message{message})
		if err != nil {
			f.Fatal(err)
		}
		// The frame head has 3 bytes and the envelope head 1; the type has 1 byte below 24, otherwise 2.
		const head = 4
		body := frame[head+1:]
		if message.MessageType() >= 24 {
			body = frame[head+2:]
		}
		f.Add(uint8(message.MessageType()), body)
	}
	f.Fuzz(func(t *testing.T, messageType uint8, body []byte) {
		checkDecoded(t, append([]byte{0x81, 0x82, 0x18, messageType}, body...))
	})
}
