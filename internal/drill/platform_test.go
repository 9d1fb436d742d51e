package drill_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/drill"
	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// TestClientAgainstPlatform runs the same operations over HTTP and in memory.
func TestClientAgainstPlatform(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := plat.NewMemory()
	server := httptest.NewServer(drill.NewPlatform(memory))
	defer server.Close()
	limits := plat.Limits{ReadsPerSecond: 1000, WritesPerSecond: 1000}
	store := plat.NewClient(server.URL, limits)

	write := plat.Write{Table: "t", ID: "w1", Changes: []plat.Change{{Key: "a/b c", Value: []byte{0, 1}}}}
	version, err := store.Commit(ctx, write)
	is.NoErr(err)
	for _, door := range []plat.Store{store, memory.Store()} {
		row, err := door.Get(ctx, "t", "a/b c")
		is.NoErr(err)
		is.Equal(row, plat.Row{Key: "a/b c", Value: []byte{0, 1}, Version: version, WriteID: "w1"})
		rows, upTo, err := door.List(ctx, "t", 0)
		is.NoErr(err)
		is.Equal(rows, []plat.Row{row})
		is.Equal(upTo, version)
		_, err = door.GetObject(ctx, "absent")
		is.True(errorx.IsOfType(err, plat.NotFound))
		_, err = door.Commit(ctx, plat.Write{Table: "t", ID: "w2", Changes: write.Changes})
		is.True(errorx.IsOfType(err, plat.Conflict))
	}
	is.NoErr(store.PutObject(ctx, "o", []byte("data")))
	data, err := store.GetObject(ctx, "o")
	is.NoErr(err)
	is.Equal(string(data), "data")
	is.NoErr(store.PutObject(ctx, "p/2", []byte("two")))
	is.NoErr(store.PutObject(ctx, "p/1", []byte("one")))
	for _, door := range []plat.Store{store, memory.Store()} {
		names, err := door.ListObjects(ctx, "p/", 1)
		is.NoErr(err)
		is.Equal(names, []string{"p/1"}) // the first in order, no more than asked for
		is.NoErr(door.DeleteObject(ctx, "o"))
		is.NoErr(door.DeleteObject(ctx, "o")) // absent is deleted
		_, err = door.GetObject(ctx, "o")
		is.True(errorx.IsOfType(err, plat.NotFound))
	}

	resp, err := http.Post(server.URL+"/-/faults", "application/json", strings.NewReader(`{"lose_answers":1}`))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	resolved, err := plat.Resolved(store).Commit(ctx, plat.Write{Table: "t", ID: "w3", Changes: []plat.Change{{Key: "new", Value: []byte("v")}}})
	is.NoErr(err) // the row tells that the write took effect
	is.Equal(resolved, version+1)

	memory.SetFaults(plat.Faults{Down: true})
	_, err = store.Get(ctx, "t", "new")
	is.True(errorx.IsOfType(err, plat.Unavailable))
}
