package dynamic

import (
	"bytes"
	"fmt"
	"strings"

	"filbertmill.example/config/internal/schema"
)

// Format returns the configuration as INI text that Parse reads back to the same
// value. Every setting is written out, even at its default. Line breaks within a
// text become spaces.
func Format(c *Config) []byte {
	var b bytes.Buffer
	if c.Revision != 0 || c.ChangeID != "" {
		formatSection(&b, sectionConfiguration, configurationFields, c)
	}
	for i := range c.Services {
		formatSection(&b, sectionService+" "+c.Services[i].Name, serviceFields, &c.Services[i])
	}
	for i := range c.Routes {
		formatSection(&b, sectionRoute+" "+c.Routes[i].Name, routeFields, &c.Routes[i])
	}
	for i := range c.Targets {
		formatSection(&b, sectionTarget+" "+c.Targets[i].Name, targetFields, &c.Targets[i])
	}
	for i := range c.Exceptions {
		formatSection(&b, sectionException+" "+c.Exceptions[i].Name, exceptionFields, &c.Exceptions[i])
	}
	return b.Bytes()
}

// lineBreakReplacer replaces the characters that would end a line by a space.
var lineBreakReplacer = strings.NewReplacer("\r\n", " ", "\n", " ", "\r", " ")

func formatSection[T any](b *bytes.Buffer, header string, fields []schema.Field[T], from *T) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	fmt.Fprintf(b, "[%s]\n", header)
	for _, f := range fields {
		value := lineBreakReplacer.Replace(f.Get(from))
		if value != "" {
			fmt.Fprintf(b, "%s = %s\n", f.Key, value)
		}
	}
}
