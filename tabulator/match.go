package tabulator

import (
	"strings"
	"time"
)

func (r Route) matches(q Query) bool {
	if r.Model != "" && r.Model != q.Model {
		return false
	}
	if r.Account != "" && r.Account != q.Account {
		return false
	}
	if r.Method != "" && r.Method != q.Method {
		return false
	}
	return strings.HasPrefix(q.Path, r.Path)
}

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
