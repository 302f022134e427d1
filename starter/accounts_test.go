package starter_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// configureAccounts stores a newer configuration with client accounts.
func (f *fleet) configureAccounts(accounts ...map[string]any) {
	f.configuration = f.newConfiguration("desk")
	f.configuration["tenants"] = accounts
	f.objects.Put("config", "main", f.configuration)
}

// TestKeysNameAccounts guards against requests that run without a valid key, for another account
// than their key's, or with the key passed on to a back end.
func TestKeysNameAccounts(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		f.configureAccounts(
			map[string]any{"name": "lamps", "apiKeys": []string{"key-one", "key-two"}},
			map[string]any{"name": "vases", "apiKeys": []string{"key-three"}},
		)
		time.Sleep(applyTimeout)
		for name, test := range map[string]struct {
			header http.Header
			// account is the account for which the request runs; empty means a refusal.
			account string
		}{
			"first key":           {http.Header{"Api-Key": {"key-one"}}, "lamps"},
			"second key":          {http.Header{"Api-Key": {"key-two"}, "X-Tenant": {"vases"}}, "lamps"},
			"other account":       {http.Header{"Api-Key": {"key-three"}}, "vases"},
			"account and no key":  {http.Header{"X-Tenant": {"vases"}}, ""},
			"unknown key":         {http.Header{"Api-Key": {"key-four"}}, ""},
			"two keys":            {http.Header{"Api-Key": {"key-one", "key-three"}}, ""},
			"two keys in a field": {http.Header{"Api-Key": {"key-one, key-three"}}, ""},
			"empty key":           {http.Header{"Api-Key": {""}}, ""},
			"other case":          {http.Header{"Api-Key": {"Key-One"}}, ""},
			"longer key":          {http.Header{"Api-Key": {"key-onekey-one"}}, ""},
		} {
			for _, c := range []request{booking(), lookUp(), quote()} {
				header := c.header.Clone()
				if header == nil {
					header = http.Header{}
				}
				for field, values := range test.header {
					header[field] = values
				}
				c.header = header
				got := f.send(t.Context(), 0, c)
				ran, _, runs := f.findRuns(got.attempt)
				if test.account == "" {
					if got.status != http.StatusUnauthorized || ran > 0 {
						t.Errorf("%s, %s: status %d, ran %d times", name, c.path, got.status, ran)
					}
					continue
				}
				if got.status != http.StatusOK || ran != 1 {
					t.Errorf("%s, %s: status %d, ran %d times", name, c.path, got.status, ran)
				}
				for _, run := range runs {
					if account := run.Header.Values("X-Tenant"); len(account) != 1 || account[0] != test.account {
						t.Errorf("%s, %s: ran for %q", name, c.path, account)
					}
					for field, values := range run.Header {
						if strings.Contains(strings.Join(values, " "), "key-") {
							t.Errorf("%s, %s: the back end got %s: %q", name, c.path, field, values)
						}
					}
				}
			}
		}
	})
}
