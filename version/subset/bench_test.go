package subset_test

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/subset"
)

func BenchmarkChoose(b *testing.B) {
	endpoints := testEndpoints()
	b.ReportAllocs()
	for b.Loop() {
		subset.Choose("proxy-1", "zone-0", endpoints, subset.DefaultSizes)
	}
}
