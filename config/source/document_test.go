package source

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestReadKeepsValuesAndLines(t *testing.T) {
	src := "\xef\xbb\xbf; comment\r\n[ONE a]\r\nkey = a # b ; c \\\r\n\r\nquoted = \"x\"\n[two]\nkey=%(other)s = 1\nempty =\n"
	doc, problems := Read("f", []byte(src))
	qt.Assert(t, problems, qt.HasLen, 0)
	qt.Assert(t, doc.Sections, qt.DeepEquals, []*Section{
		{File: "f", Header: "ONE a", Kind: "ONE", Name: "a", Line: 2, Entries: []Entry{
			{Key: "key", Value: `a # b ; c \`, Line: 3}, {Key: "quoted", Value: `"x"`, Line: 5},
		}},
		{File: "f", Header: "two", Kind: "two", Line: 6, Entries: []Entry{
			{Key: "key", Value: "%(other)s = 1", Line: 7}, {Key: "empty", Line: 8},
		}},
	})
}

func TestReadReportsInvalidLines(t *testing.T) {
	many := strings.Repeat("k%d = 1\n", maxKeys+1)
	var numbers []any
	for i := range maxKeys + 1 {
		numbers = append(numbers, i)
	}
	for _, test := range []struct {
		desc, src, want string
	}{
		{"multi-line quotes", "[a]\nk = \"\"\"x\n", `f:2: [a] k: multi-line quotes are not supported`},
		{"backquote", "[a]\nk = `x\n", `f:2: [a] k: multi-line quotes are not supported`},
		{"quoted key", "[a]\n\"k\" = x\n", `f:2: [a] the line has no valid key`},
		{"automatic key", "[a]\n- = x\n", `f:2: [a] the line has no valid key`},
		{"no section name", "[ ]\nk = x\n", `f:1: the section has no name`},
		{"surplus spaces", "[a  b]\nk = x\n", `f:1: surplus spaces: write the section as [a b]`},
		{"not text", "[a]\n\xff = x\n", `f:2: [a] the line is not UTF-8 text`},
		{"too many keys", "[a]\n" + fmt.Sprintf(many, numbers...), `f:258: [a] k256: the section has more than 256 keys`},
	} {
		t.Run(test.desc, func(t *testing.T) {
			_, problems := Read("f", []byte(test.src))
			qt.Assert(t, problems, qt.HasLen, 1)
			qt.Assert(t, problems[0].Error(), qt.Equals, test.want)
		})
	}
}
