package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/dandelionfield/dandelionfield/pkg/caller"
)

// The request runs once although its first answer is lost: the repeat has the same key and
// returns the recorded answer.
func ExampleCaller_Do() {
	seen := map[string]bool{}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		if !seen[key] {
			seen[key] = true
			panic(http.ErrAbortHandler) // the request has run, but the connection breaks
		}
		w.Header().Set("Dandelion-Code", "101")
		_, _ = fmt.Fprint(w, "30 eggs recorded")
	}))
	defer node.Close()

	c := caller.New([]string{strings.TrimPrefix(node.URL, "http://")})
	answer, err := c.Do(context.Background(), caller.Request{
		Method: http.MethodPost,
		Path:   "/collections/record",
		Body:   []byte(`{"farm":"f3","eggs":30}`),
	})
	fmt.Println(err, answer.Code, answer.Sendings)
	fmt.Println(string(answer.Body))
	// Output:
	// <nil> replayed 2
	// 30 eggs recorded
}
