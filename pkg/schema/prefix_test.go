package schema_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const prefixDocument = `
resource: service
name: stock
slots: 10
connections: 10
---
resource: service
name: stock_next
slots: 10
connections: 10
---
resource: request_kind
name: all_of_shop
split: {stock: 9, stock_next: 1}
host: shop.example
prefix: /
objective: 500ms
---
resource: request_kind
name: rope
service: stock
host: shop.example
prefix: /rope/
repeat: safe
---
resource: request_kind
name: any_host
service: stock
prefix: /rope/spools/
`

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	set, err := schema.Parse("declarations", []byte(prefixDocument))
	is.NoErr(err)
	matcher := schema.NewMatcher(set)
	for _, test := range []struct{ host, path, kind string }{
		{"shop.example", "/rope/7", "rope"},
		{"SHOP.example:8080", "/rope/", "rope"},
		{"shop.example", "/rope", "all_of_shop"},
		{"shop.example", "/", "all_of_shop"},
		{"shop.example", "/rope/spools/3", "rope"}, // prefixes declared for the host come first
		{"other.example", "/rope/spools/3", "any_host"},
		{"other.example", "/rope/3", ""},
		{"shop.example", "/%72ope/7", "all_of_shop"}, // the path is compared undecoded
	} {
		kind, ok := matcher.MatchPrefix(test.host, test.path)
		is.Equal(ok, test.kind != "")
		if ok {
			is.Equal(kind.Name, test.kind)
		}
	}
	is.Equal(set.Kind("all_of_shop").Repeat, schema.Never) // the default for a prefix, which accepts any method
	is.Equal(set.Chain("all_of_shop"), []string{"stock", "stock_next"})
	reparsed, err := schema.Parse("document", set.Document())
	is.NoErr(err)
	is.Equal(set.Document(), reparsed.Document())
}

func TestPrefixProblemsHavePositions(t *testing.T) {
	is := is.New(t)
	_, err := schema.Parse("mesh.yaml", []byte(`resource: service
name: stock
slots: 10
connections: 10
---
resource: request_kind
name: one
service: stock
host: shop.example
path: /a
---
resource: request_kind
name: two
split: {stock: 0}
prefix: /b
---
resource: request_kind
name: three
service: stock
split: {stok: 1}
method: GET
prefix: /c/
---
resource: request_kind
name: four
`))
	is.Equal(err.Error(), strings.TrimSpace(`
mesh.yaml:9:7: host: expected a host only beside a prefix, found "shop.example"
mesh.yaml:14:8: split: expected a weight above 0, found a mapping
mesh.yaml:15:9: prefix: expected a path that begins and ends with /, found "/b"
mesh.yaml:20:8: split: expected either service or split, found a mapping
mesh.yaml:20:8: split: expected declared services, which stok is not, found a mapping
mesh.yaml:21:9: method: expected no method beside a prefix, which takes all of them, found "GET"
mesh.yaml:24:1: expected the key path or prefix, found a mapping
mesh.yaml:24:1: expected the key service or split, found a mapping
`))
}
