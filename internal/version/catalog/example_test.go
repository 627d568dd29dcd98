package catalog_test

import (
	"fmt"

	"pollenpaddle/internal/version/catalog"
)

// Guards against a command that changes when it is encoded and decoded, and against a resent
// command that is applied twice.
func ExampleCommand() {
	command := catalog.Command{
		ChangeID: "change-1", ExpectedRevision: catalog.FirstRevision,
		Operation: catalog.PutOrganisation{Organisation: catalog.Organisation{Name: "swan-river", Slots: 40}},
	}
	data, err := command.Encode()
	if err != nil {
		fmt.Println(err)
		return
	}
	decoded, err := catalog.DecodeCommand(data)
	fmt.Println(decoded == command, err)

	machine := catalog.New()
	applied := machine.Apply(data)
	resent := machine.Apply(data)
	organisation, _ := machine.State().Organisation("swan-river")
	fmt.Println(organisation.Slots, applied.Revision-catalog.FirstRevision, resent.Revision == applied.Revision, resent.Err())
	// Output:
	// true <nil>
	// 40 1 true <nil>
}
