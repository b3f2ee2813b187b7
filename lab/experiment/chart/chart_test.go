package chart

import (
	"bytes"
	"encoding/xml"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/lab/experiment"
	"github.com/landingtrail/landingtrail/lab/trace"
)

func TestWriteSVG(t *testing.T) {
	report, err := experiment.Run(experiment.Config{
		Deployment: trace.DeploymentRadarvlak, Seed: 2, Duration: 40 * time.Second,
		Policies: []string{experiment.PolicyLandingtrail, experiment.PolicyThreshold},
	})
	must.NoError(t, err)
	var first, second bytes.Buffer
	must.NoError(t, WriteSVG(&first, report))
	must.NoError(t, WriteSVG(&second, report))
	must.Eq(t, first.String(), second.String())
	for _, wanted := range []string{"landingtrail: ", "threshold: ", "offered tokens/s", "serving engines", "role changes so far"} {
		must.StrContains(t, first.String(), wanted)
	}
	decoder := xml.NewDecoder(&first)
	for {
		_, err := decoder.Token()
		if err == io.EOF {
			break
		}
		must.NoError(t, err)
	}
}

func TestWriteSVGWithoutRuns(t *testing.T) {
	must.ErrorIs(t, WriteSVG(io.Discard, &experiment.Report{}), ErrNoRuns)
}
