package config_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Guards against placement in an evacuated zone, wherever in the file the rule is, against an evacuation that changes the rules
// themselves, and against evacuations of unknown zones or without a reason.
func TestEvacuatedZonesGetNoWork(t *testing.T) {
	g := NewWithT(t)
	const text = `evacuate piran-b # ana: power works
zone piran-a region=primorska # ana: first zone
zone piran-b region=primorska # ana: second zone
server s1 zone=piran-a addr=10.0.0.1:80 role=service pool=app # ana: first
server s2 zone=piran-b addr=10.0.0.2:80 role=service pool=app # ana: second
route /app/* pool=app # ana: app
`
	f, err := rules.ParseAndCheck("fleet.rules", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	s := config.NewSnapshot(1, f.Rules())
	g.Expect(s.Evacuated("piran-b")).To(BeTrue())
	g.Expect(s.Evacuated("piran-a")).To(BeFalse())
	g.Expect(s.Servers()["s1"].State).To(Equal(rules.ServerActive))
	g.Expect(s.Servers()["s2"].State).To(Equal(rules.ServerLeaving))
	g.Expect(s.Pool("app")[1].State).To(Equal(rules.ServerLeaving))
	g.Expect(f.Rules()[4].(*rules.Server).State).To(Equal(rules.ServerActive))
	formatted, err := rules.FormatRule(f.Rules()[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(formatted).To(HavePrefix("evacuate piran-b"))
	for _, faulty := range []string{"evacuate piran-c # ana: typing error\n", "evacuate piran-b\n", "evacuate piran-b # ana: again\n", "evacuate # ana: all\n"} {
		_, err := rules.ParseAndCheck("fleet.rules", []byte(text+faulty))
		g.Expect(err).To(HaveOccurred(), faulty)
	}
}
