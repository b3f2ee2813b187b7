package settings

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
)

// checkObjects finds the faults of objects that can be found without the state
// of the group; the rest is found at acceptance. A field whose text was already
// at fault is not named a second time.
func checkObjects(d *decoder, path string, objects []api.Object) {
	seen := map[api.Key]string{}
	for i, object := range objects {
		objectPath := fmt.Sprintf("%s[%d]", path, i)
		if d.faultyBelow(objectPath) && !single(object) {
			continue
		}
		for _, found := range api.Validate(object) {
			field := join(objectPath, found.Field)
			if !d.faulty(field) {
				d.fault(field, "%s", found.Message)
			}
		}
		key, _ := object.Key()
		if first, repeated := seen[key]; repeated && key.Name != "" {
			d.fault(objectPath, "must be another object than %s, both are %s", first, key)
		}
		seen[key] = objectPath
	}
}

func single(object api.Object) bool {
	_, exactlyOne := object.Key()
	return exactlyOne
}
