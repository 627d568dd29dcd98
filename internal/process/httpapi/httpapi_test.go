package httpapi_test

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/process/httpapi"
)

// Guards against a fault in one request that ends the process, and against a response that suggests that nothing was
// carried out.
func TestRecoverFaults(t *testing.T) {
	expect := gomega.NewWithT(t)
	var faults []error
	handler := httpapi.RecoverFaults(func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString("partial")
		if string(ctx.Path()) == "/fault" {
			panic("unexpected body")
		}
	}, func(err error) { faults = append(faults, err) })

	var sound, faulty fasthttp.RequestCtx
	sound.Request.SetRequestURI("/")
	handler(&sound)
	expect.Expect(sound.Response.StatusCode()).To(gomega.Equal(fasthttp.StatusOK))
	faulty.Request.SetRequestURI("/fault")
	handler(&faulty)
	expect.Expect(faulty.Response.StatusCode()).To(gomega.Equal(fasthttp.StatusInternalServerError))
	expect.Expect(string(faulty.Response.Body())).To(gomega.And(gomega.ContainSubstring(`"internal"`), gomega.ContainSubstring("may have been carried out"), gomega.Not(gomega.ContainSubstring("partial"))))
	expect.Expect(faulty.Response.ConnectionClose()).To(gomega.BeTrue())
	expect.Expect(faults).To(gomega.HaveLen(1))
}
