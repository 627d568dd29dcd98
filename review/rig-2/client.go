//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// request sends one HTTP request over a new connection. The status is zero if there was no response.
func request(method, url, host string, headers map[string]string, body []byte, timeout time.Duration) (status int, response []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		r.Host = host
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	result, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer result.Body.Close()
	response, err = io.ReadAll(result.Body)
	if err != nil {
		return 0, nil
	}
	return result.StatusCode, response
}

// configuration returns a configuration with one route and one service.
func configuration(version int) []byte {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": routeHost, "path_prefix": routePrefix, "kind": "non_idempotent", "timeout_ms": 1500 + version,
			"slo_ms": 60, "priority": 0, "service": serviceName, "max_attempts": 3, "stretch": 1.6,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "enforces_capacity": true, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return body
}

const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	serviceName = "huvo11a"
)

// operator sends orders like the platform's operator: to one node after the other until one acknowledges it.
type operator struct {
	record *record
	port   int
}

// put sends a configuration until it is acknowledged. It returns the machine that acknowledged it, or nil.
func (o *operator) put(version int, limit time.Duration, machines ...*machine) *machine {
	for began, backoff := time.Now(), 50*time.Millisecond; time.Since(began) < limit; {
		for _, m := range machines {
			status, body := request(http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, o.port, words.PutConfig), "", nil, configuration(version), time.Second)
			if status == http.StatusOK {
				o.record.add("operator: version %d acknowledged by %s", version, m.name)
				return m
			}
			o.record.add("operator: version %d not acknowledged by %s: status %d %.90s", version, m.name, status, body)
			time.Sleep(backoff)
		}
		backoff = min(2*backoff, time.Second)
	}
	return nil
}

// read reads the configuration from one machine. The version is zero without a 200.
func (o *operator) read(m *machine) (status, version int) {
	status, body := request(http.MethodGet, fmt.Sprintf("http://%s:%d%s", m.ip, o.port, words.GetConfig), "", nil, nil, time.Second)
	var document struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(body, &document)
	}
	return status, document.Version
}
