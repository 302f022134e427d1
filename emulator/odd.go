package emulator

import "strings"

// replaceField returns sound with the text of a field's value replaced.
func replaceField(sound, field, value string) string {
	start := strings.Index(sound, `"`+field+`":`)
	if start < 0 {
		panic("no field " + field)
	}
	start += len(field) + 3
	end := start + strings.IndexAny(sound[start:], ",}")
	return sound[:start] + value + sound[end:]
}

func nested(levels int) string {
	return strings.Repeat("[", levels) + strings.Repeat("]", levels)
}

// OddSpecs returns specs of other writers, by form, that name no back end to use. They are
// made from the spec of a sound one.
func OddSpecs(sound string) map[string]string {
	specs := map[string]string{
		"deep":               nested(200_000),
		"deep unknown field": `{"extra":` + nested(20_000) + `,` + sound[1:],
		"deep, valid alone":  `{"extra":` + nested(9_998) + `,"service":7}`,
		"null":               `null`, "text": `"text"`, "number": `1e400`, "list": `[]`, "empty": `{}`, "true": `true`,
		"invalid UTF-8":   "{\"service\":\"x\",\"address\":\"\xff\xfe\",\"state\":\"ready\"}",
		"huge":            `{"address":"` + strings.Repeat("9", 1_000_000) + `","service":"x","state":"ready"}`,
		"slots text":      replaceField(sound, "slots", `"4"`),
		"state unknown":   replaceField(sound, "state", `"melting"`),
		"state null":      replaceField(sound, "state", `null`),
		"service list":    replaceField(sound, "service", `["x"]`),
		"service empty":   replaceField(sound, "service", `""`),
		"zone number":     replaceField(sound, "zone", `7`),
		"address missing": `{"service":"x","state":"ready"}`,
		"duplicate keys":  `{"address":"10.0.0.9:80",` + sound[1:len(sound)-1] + `,"address":{}}`,
	}
	for _, field := range []string{"slots", "born"} {
		for _, number := range []string{"1e400", "-1e400", "9223372036854775808", "1.5", "99999999999999999999999999"} {
			specs[field+" "+number] = replaceField(sound, field, number)
		}
	}
	for _, slots := range []string{"-1", "9223372036854775807"} {
		specs["slots "+slots] = replaceField(sound, "slots", slots)
	}
	for _, address := range []string{"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:-1", "10.0.0.9:http", "10.0.0.9", ":80", "0.0.0.0:80", "10.0.0.9:80/x", "10.0.0.9:80\\r\\nX: y", ""} {
		specs["address "+address] = replaceField(sound, "address", `"`+address+`"`)
	}
	return specs
}

// OddObjects is like OddSpecs for the whole text of an object; see Objects.PutRaw.
func OddObjects(name, sound string) map[string]string {
	objects := map[string]string{
		"null": `null`, "number": `7`, "no metadata": `{"spec":` + sound + `}`,
		"metadata text":  `{"metadata":"` + name + `","spec":` + sound + `}`,
		"name number":    `{"metadata":{"name":7,"revision":REVISION},"spec":` + sound + `}`,
		"name empty":     `{"metadata":{"name":"","revision":REVISION},"spec":` + sound + `}`,
		"name null":      `{"metadata":{"name":null,"revision":REVISION},"spec":` + sound + `}`,
		"deep metadata":  `{"metadata":{"name":"` + name + `","extra":` + nested(20_000) + `,"revision":1e400},"spec":` + sound + `}`,
		"spec not valid": `{"metadata":{"name":"` + name + `","revision":REVISION},"spec":{"service":nul}}`,
	}
	for _, ending := range []string{" b", `\nb`, `\r\nX-Own: y`, `\u0000`, "é"} {
		objects["name ending "+ending] = `{"metadata":{"name":"` + name + ending + `","revision":REVISION},"spec":` + sound + `}`
	}
	for _, revision := range []string{"1e400", "9223372036854775808", "1.5", `"7"`, "{}", nested(20_000)} {
		objects["revision "+revision[:min(20, len(revision))]] = `{"metadata":{"name":"` + name + `","revision":` + revision + `},"spec":` + sound + `}`
	}
	for form, spec := range OddSpecs(sound) {
		objects["spec "+form] = `{"metadata":{"name":"` + name + `","revision":REVISION},"spec":` + spec + `,"status":` + spec + `}`
	}
	return objects
}
