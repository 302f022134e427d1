package authenticator_test

import (
	"strings"
	"testing"

	"github.com/foxtailspool/foxtailspool/authenticator"
)

// TestAuthenticate guards against credentials that are taken for a key that they only resemble, and
// against requests that need no key because the configuration's accounts have none.
func TestAuthenticate(t *testing.T) {
	a := authenticator.New([]authenticator.Account{
		{Name: "lamps", Keys: []authenticator.Digest{authenticator.NewDigest("lamp-key"), authenticator.NewDigest("lamp-key-2")}},
		{Name: "vases"},
	})
	for _, test := range []struct {
		credentials []string
		failure     authenticator.Failure
	}{
		{[]string{"lamp-key"}, ""},
		{[]string{"lamp-key-2"}, ""},
		{nil, authenticator.NoKey},
		{[]string{"lamp-key", "lamp-key"}, authenticator.SeveralKeys},
		{[]string{""}, authenticator.InvalidKey},
		{[]string{"lamp-key "}, authenticator.InvalidKey},
		{[]string{"lamp-key,lamp-key-2"}, authenticator.InvalidKey},
		{[]string{strings.Repeat("k", 1<<20)}, authenticator.InvalidKey},
		{[]string{"Lamp-Key"}, authenticator.UnknownKey},
		{[]string{"lamp-ke"}, authenticator.UnknownKey},
		{[]string{"vases"}, authenticator.UnknownKey},
	} {
		account, failure := a.Authenticate(test.credentials)
		if failure != test.failure || (failure == "") != (account.Name == "lamps") {
			t.Errorf("%.30q: account %q, failure %q", test.credentials, account.Name, failure)
		}
	}
	var none *authenticator.Authenticator
	if !a.Required() || none.Required() || authenticator.New(nil).Required() {
		t.Error("a key is needed if, and only if, there are accounts")
	}
}
