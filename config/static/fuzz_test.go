package static

import "testing"

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[node\nname"))
	f.Add([]byte("\xef\xbb\xbf[drain]\r\ndelay=1h\r\n"))
	f.Fuzz(func(t *testing.T, src []byte) {
		settings, problems := Parse("f", src)
		for _, p := range problems {
			if p.Line < 1 || p.Text == "" {
				t.Fatalf("problem without a place: %#v", p)
			}
		}
		if len(problems) == 0 && (settings.Name == "" || len(settings.SharedKey) < minKeyBytes) {
			t.Fatalf("accepted without a name or a key: %#v", settings)
		}
	})
}
