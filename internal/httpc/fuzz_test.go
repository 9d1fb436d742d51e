package httpc

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// The client must be stricter than net/http: a head that it accepts is valid for net/http
// too, with the same status and length.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: y\r\n\r\n",
		"HTTP/1.0 404\r\nX:\t y \r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\n",
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, text string) {
		end := strings.Index(text, "\n\r\n")
		if end < 0 {
			return
		}
		head := text[:end+3]
		parsed, err := parseHead(head)
		if err != nil || parsed.Fields.Has("Transfer-Encoding") || parsed.Status < 200 {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil {
			t.Fatalf("%q was accepted, but net/http rejects it: %v", head, err)
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != parsed.Status {
			t.Fatalf("%q: status %d, not %d", head, parsed.Status, response.StatusCode)
		}
		if len(parsed.Fields) > 0 && parsed.Length >= 0 && response.ContentLength != parsed.Length && parsed.Status != 204 && parsed.Status != 304 {
			t.Fatalf("%q: length %d, not %d", head, parsed.Length, response.ContentLength)
		}
	})
}
