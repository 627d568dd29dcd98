package cluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"pollenpaddle/tools/measure/profile"
)

// requestTimeout is the timeout of one administrative request.
const requestTimeout = 10 * time.Second

// configure adds the organisations and classes of a profile.
func (c *Cluster) configure(p *profile.Profile) error {
	added := map[string]bool{}
	for i := range p.Classes {
		class := &p.Classes[i]
		for _, organisation := range class.Organisations {
			if added[organisation] {
				continue
			}
			added[organisation] = true
			if err := c.Change("organisations/"+organisation, map[string]any{"slots": 0}); err != nil {
				return err
			}
		}
		body := map[string]any{
			"upstream": p.Upstream, "answer_within_ms": class.AnswerWithin.Milliseconds(), "share": class.Share,
		}
		if err := c.Change("classes/"+class.Name, body); err != nil {
			return err
		}
	}
	return nil
}

// SetZone takes a zone out of service or brings it back.
func (c *Cluster) SetZone(name, state string) error {
	return c.Change("zones/"+name, map[string]any{"state": state})
}

// Change makes one change of the configuration against the current revision. It tries the control
// members in turn, because one of them may be down.
func (c *Cluster) Change(path string, body map[string]any) error {
	body["change_id"] = uuid.NewString()
	var lastErr error
	for range 3 * len(c.Control) {
		for _, member := range c.Control {
			if lastErr = changeOn(member.Address, path, body); lastErr == nil {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return lastErr
}

// changeOn makes a change through one control member.
func changeOn(address, path string, body map[string]any) error {
	var current struct {
		Revision uint64 `json:"revision"`
	}
	if err := doRequest("GET", address, "zones", nil, &current); err != nil {
		return err
	}
	body["expected_revision"] = current.Revision
	return doRequest("PUT", address, path, body, nil)
}

// Get decodes the JSON document at a path below /v1/ of a process.
func Get(address, path string, result any) error {
	return doRequest("GET", address, strings.TrimPrefix(path, "/v1/"), nil, result)
}

// doRequest sends body as JSON to a path below /v1/ and decodes the response into result. Both may be
// nil.
func doRequest(method, address, path string, body, result any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(fmt.Sprintf("http://%s/v1/%s", address, path))
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		request.SetBody(encoded)
	}
	if err := fasthttp.DoTimeout(request, response, requestTimeout); err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return errors.Newf("%s %s: %s", method, path, response.Body())
	}
	if result == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(response.Body(), result), "%s %s", method, path)
}

// Counters returns the sum over the processes of every metric whose name starts with prefix, by
// name with labels.
func Counters(processes []*Process, prefix string) (map[string]float64, error) {
	sums := map[string]float64{}
	for _, p := range processes {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+p.Address+"/metrics", requestTimeout)
		if err != nil || status != fasthttp.StatusOK {
			return nil, errors.Newf("read metrics of %s: status %d, error %v", p.ID, status, err)
		}
		addSamples(sums, string(body), prefix)
	}
	return sums, nil
}
