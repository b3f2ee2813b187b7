package subset_test

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/subset"
)

func ExampleChoose() {
	endpoints := []subset.Endpoint{
		{Name: "a", Zone: "west", Group: "model"},
		{Name: "b", Zone: "west", Group: "model"},
		{Name: "c", Zone: "east", Group: "model"},
	}
	chosen := subset.Choose("proxy-1", "west", endpoints, subset.Sizes{Local: 2, Remote: 1})
	fmt.Println(chosen)
	// Output: [a b c]
}
