package tabler

// A version of a Feed is a position: the era of the service, and the version that the service
// gave a change in that era. A service that returns from an older copy of itself begins a new era,
// and gives the versions out again that it has lost. Positions of a later era are greater than
// those of an earlier one, so that what orders by version needs to know nothing of eras.

// versionBits is the number of bits of a position that hold the version within its era: enough
// for a million changes a second for twelve days, or 1,000 a second for 34 years.
const versionBits = 40

// Position returns the position of a version in an era. Version 0, of a row that does not exist,
// has position 0 in each era.
func Position(era, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	return era<<versionBits | version
}

// EraStart returns the position after which an era starts.
func EraStart(era uint64) uint64 { return era << versionBits }

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> versionBits }

// VersionInEra returns the version of a position within its era.
func VersionInEra(position uint64) uint64 { return position & (1<<versionBits - 1) }
