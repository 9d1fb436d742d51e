package result

import (
	"testing"

	"github.com/matryer/is"
)

func TestEveryCodeParsesByName(t *testing.T) {
	is := is.New(t)
	for _, info := range All() {
		byName, ok := Parse(info.Name)
		is.True(ok)
		is.Equal(byName, info.Code)
		family := info.Code.Family()
		is.True(family >= Complete && family <= Unknown)
	}
}
