package planlint

// CheckVersion reports a version that no node would put in force.
func CheckVersion(version int64) []Finding {
	if version > 0 {
		return nil
	}
	return []Finding{place{kind: TypeConfiguration}.finding(SeverityError, fieldVersion,
		"nodes ignore version %d; set a positive number, above that of the version in force", version)}
}

// CompareVersions reports a version that doesn't follow the one in force.
func CompareVersions(inForce, version int64) []Finding {
	if version > inForce || version <= 0 {
		return nil
	}
	return []Finding{place{kind: TypeConfiguration}.finding(SeverityError, fieldVersion,
		"nodes ignore version %d because it is not above the version in force, %d; set a higher number", version, inForce)}
}
