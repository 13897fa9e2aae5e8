package conf_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/conf"
)

// seedSettings returns the settings of a keeper on the host, behind an outside
// platform and with three seeds.
func seedSettings(host string, bootstrap bool) string {
	return fmt.Sprintf(`{"node":{"name":%q,"dataCentre":"a","roles":["keeper"],"dataFolder":"/d","listen":"%s:7720"},
		"tls":{"selfSigned":true},"join":{"seeds":["10.0.0.1:8166","10.0.0.2:8166","10.0.0.3:8166"]},
		"keeper":{"bootstrap":%t},"platform":{"enabled":true,"control":"%s:8166"}}`, host, host, bootstrap, host)
}

func TestSeedsAreKeepersAtTheSamePort(t *testing.T) {
	for _, x := range []struct {
		host      string
		bootstrap bool
		members   int
	}{{"10.0.0.2", true, 3}, {"10.0.0.9", true, 0}, {"10.0.0.2", false, 0}} {
		s, err := conf.Parse([]byte(seedSettings(x.host, x.bootstrap)))
		assert.NilError(t, err)
		assert.DeepEqual(t, s.Join.Addresses, []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"})
		assert.Equal(t, len(s.Keeper.InitialMembers), x.members, "%+v", x)
		for i, m := range s.Keeper.InitialMembers {
			assert.Equal(t, m.Name, fmt.Sprintf("10.0.0.%d", i+1))
			assert.Equal(t, m.Address, m.Name+":7720")
		}
	}
}

func TestPlatformSettingsAreChecked(t *testing.T) {
	_, err := conf.Parse([]byte(`{"node":{"name":"e","dataCentre":"a","roles":["entry"],"listen":"10.0.0.4:7720"},
		"tls":{"selfSigned":true},"join":{"seeds":["x"]},"platform":{"enabled":true,"holdLimit":"1ms"}}`))
	for _, path := range []string{"join.seeds[0]", "platform.callers", "platform.ready", "platform.holdLimit"} {
		assert.ErrorContains(t, err, path)
	}
}
