package configurator

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// required marks a key without a default.
const required = "\x00required"

// Key is one key of the settings file.
type Key struct {
	// Name is the section and the key, such as "callers.read-timeout".
	Name string
	// Type names the kind of value, and Range the values allowed.
	Type  string
	Range string
	// Default is the value's text; Required keys have none.
	Default  string
	Required bool
	Meaning  string
	// set checks a decoded TOML value and stores it.
	set func(value any) error
}

// define declares a key whose default goes through the same check as its values.
func define[T any](name, kind, limits, standard, meaning string, target *T, parse func(any) (T, error)) Key {
	key := Key{Name: name, Type: kind, Range: limits, Default: standard, Meaning: meaning}
	key.set = func(value any) error {
		parsed, err := parse(value)
		if err == nil {
			*target = parsed
		}
		return err
	}
	if standard == required {
		key.Default, key.Required = "", true
	}
	return key
}

// text turns a check of a string into a check of any value.
func text[T any](want string, parse func(string) (T, error)) func(any) (T, error) {
	return func(value any) (T, error) {
		content, ok := value.(string)
		if !ok {
			var zero T
			return zero, fmt.Errorf("want %s", want)
		}
		return parse(content)
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func name[T ~string](key string, target *T, meaning string) Key {
	const want = "a name of lower-case letters, digits, dots and hyphens, at most 63 characters"
	parse := func(content string) (T, error) {
		if !namePattern.MatchString(content) {
			return "", fmt.Errorf("%q is not %s", content, want)
		}
		return T(content), nil
	}
	return define(key, "name", "", required, meaning, target, text(want, parse))
}

const wantAddress = `an IP address and a port, such as "192.0.2.1:8080"`

func parseAddress(content string) (identifier.Address, error) {
	parsed, err := netip.ParseAddrPort(content)
	if err != nil || parsed.Port() == 0 {
		return "", fmt.Errorf("%q is not %s", content, wantAddress)
	}
	return identifier.Address(content), nil
}

func address(key string, target *identifier.Address, standard, meaning string) Key {
	parse := func(content string) (identifier.Address, error) {
		if content == "" && standard != required {
			return "", nil
		}
		return parseAddress(content)
	}
	return define(key, "address", "", standard, meaning, target, text(wantAddress, parse))
}

func addresses(key string, target *[]identifier.Address, meaning string) Key {
	parse := func(value any) ([]identifier.Address, error) {
		items, ok := value.([]any)
		if !ok && value != "" {
			return nil, fmt.Errorf("want a list of addresses")
		}
		var list []identifier.Address
		for _, item := range items {
			content, _ := item.(string)
			parsed, err := parseAddress(content)
			if err != nil {
				return nil, err
			}
			list = append(list, parsed)
		}
		return list, nil
	}
	return define(key, "list of addresses", "", "", meaning, target, parse)
}

func file(key string, target *string, meaning string) Key {
	parse := func(content string) (string, error) { return content, nil }
	return define(key, "file path", "", "", meaning, target, text("a file path", parse))
}

func baseURL(key string, target *string, standard, meaning string) Key {
	const want = `an http or https address, such as "https://192.0.2.1:6443"`
	parse := func(content string) (string, error) {
		if content == "" && standard != required {
			return "", nil
		}
		parsed, err := url.Parse(content)
		if err != nil || parsed.Host == "" || parsed.User != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return "", fmt.Errorf("want %s", want)
		}
		return strings.TrimSuffix(content, "/"), nil
	}
	return define(key, "URL", "", standard, meaning, target, text(want, parse))
}

func duration(key string, target *time.Duration, standard string, least, most time.Duration, meaning string) Key {
	const want = `a duration with its unit, such as "300ms", "5s" or "2m"`
	limits := fmt.Sprintf("%s to %s", shortDuration(least), shortDuration(most))
	parse := func(content string) (time.Duration, error) {
		parsed, err := time.ParseDuration(content)
		if err != nil {
			return 0, fmt.Errorf("%q is not %s", content, want)
		}
		if parsed < least || parsed > most {
			return 0, fmt.Errorf("%s is not within %s", content, limits)
		}
		return parsed, nil
	}
	return define(key, "duration", limits, standard, meaning, target, text(want, parse))
}

// shortDuration writes "24h" for "24h0m0s".
func shortDuration(d time.Duration) string {
	content := d.String()
	content = strings.TrimSuffix(content, "0s")
	return strings.TrimSuffix(content, "0m")
}

var sizeUnits = []struct {
	suffix string
	unit   Bytes
}{{"KiB", Kibibyte}, {"MiB", Mebibyte}, {"GiB", Gibibyte}, {"B", Byte}}

// parseSize reads a size with its unit.
func parseSize(content string) (Bytes, bool) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(content, u.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 32)
		return Bytes(number) * u.unit, err == nil
	}
	return 0, false
}

// String writes the size in its largest whole unit.
func (b Bytes) String() string {
	for _, u := range []int{2, 1, 0} {
		if b != 0 && b%sizeUnits[u].unit == 0 {
			return fmt.Sprintf("%d%s", b/sizeUnits[u].unit, sizeUnits[u].suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

func size(key string, target *Bytes, standard string, least, most Bytes, meaning string) Key {
	const want = `a size with its unit (B, KiB, MiB, GiB), such as "64KiB"`
	limits := fmt.Sprintf("%s to %s", least, most)
	parse := func(content string) (Bytes, error) {
		parsed, ok := parseSize(content)
		if !ok {
			return 0, fmt.Errorf("%q is not %s", content, want)
		}
		if parsed < least || parsed > most {
			return 0, fmt.Errorf("%s is not within %s", content, limits)
		}
		return parsed, nil
	}
	return define(key, "size", limits, standard, meaning, target, text(want, parse))
}

func count(key string, target *int, standard string, most int64, meaning string) Key {
	limits := fmt.Sprintf("1 to %d", most)
	parse := func(value any) (int, error) {
		content, isDefault := value.(defaultText)
		if isDefault && content == "" {
			return 0, nil
		}
		if isDefault {
			return strconv.Atoi(string(content))
		}
		number, ok := value.(int64)
		if !ok {
			return 0, fmt.Errorf("want a whole number without quotes")
		}
		if number < 1 || number > most {
			return 0, fmt.Errorf("%d is not within %s", number, limits)
		}
		return int(number), nil
	}
	return define(key, "number", limits, standard, meaning, target, parse)
}

// optionalCount declares a number that is zero when it is left out.
func optionalCount(key string, target *int, most int64, meaning string) Key {
	return count(key, target, "", most, meaning)
}

func ratio(key string, target *float64, standard, meaning string) Key {
	parse := func(value any) (float64, error) {
		var number float64
		switch content := value.(type) {
		case defaultText:
			return strconv.ParseFloat(string(content), 64)
		case int64:
			number = float64(content)
		case float64:
			number = content
		default:
			return 0, fmt.Errorf("want a number from 0 to 1")
		}
		if !(number >= 0 && number <= 1) {
			return 0, fmt.Errorf("%v is not within 0 to 1", number)
		}
		return number, nil
	}
	return define(key, "ratio", "0 to 1", standard, meaning, target, parse)
}

func level(key string, target *logrus.Level, standard, meaning string) Key {
	const want = "one of error, warning, info, debug"
	parse := func(content string) (logrus.Level, error) {
		parsed, err := logrus.ParseLevel(content)
		if err != nil || parsed < logrus.ErrorLevel || parsed > logrus.DebugLevel {
			return 0, fmt.Errorf("%q is not %s", content, want)
		}
		return parsed, nil
	}
	return define(key, "level", want, standard, meaning, target, text(want, parse))
}
