package excluder

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// TestManyLeavingVMsFitMessages guards against messages that are dropped for their size when many
// VMs leave at once, so that other nodes go on using these.
func TestManyLeavingVMsFitMessages(t *testing.T) {
	for name, format := range map[string]string{"IPv4": "10.201.101.%d:8080", "IPv6": "[2001:db8:85a3:1234:5678:8a2e:370:%x]:8080"} {
		var leaving []identifier.Address
		for n := range 200 {
			leaving = append(leaving, identifier.Address(fmt.Sprintf(format, n)))
		}
		other := New(Options{Log: logger.Discard()})
		payloads := encodeLeaving(leaving)
		for _, payload := range payloads {
			if len(payload) > maxMessageBytes {
				t.Errorf("%s: a message of %d bytes", name, len(payload))
			}
			other.Receive(payload)
		}
		if len(other.expiryByHost) != len(leaving) || len(payloads) > len(leaving)/8 {
			t.Errorf("%s: %d VMs known of %d, in %d messages", name, len(other.expiryByHost), len(leaving), len(payloads))
		}
		for _, address := range leaving {
			if !other.expiryByHost[hostOf(address)].After(time.Now()) {
				t.Errorf("%s is unknown", address)
			}
		}
	}
}
