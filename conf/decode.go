package conf

import (
	"bytes"
	"encoding"
	"encoding/json"
	"io"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// decode decodes JSON into the struct that v points to. Unlike encoding/json it
// continues after an error, so that all unknown fields and wrong types are reported
// with their paths.
func (c *checker) decode(b []byte, v any) {
	if len(b) > maxSettings {
		c.add("", strconv.Itoa(len(b))+" bytes", "at most "+strconv.Itoa(maxSettings)+" bytes")
		return
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		c.add("", "", "JSON ("+err.Error()+" near byte "+strconv.FormatInt(d.InputOffset(), 10)+")")
		return
	}
	if _, err := d.Token(); err != io.EOF {
		c.add("", "", "one JSON object, nothing after it")
		return
	}
	c.assign("", reflect.ValueOf(v).Elem(), tree)
}

// assign sets v to the decoded JSON value, or adds a problem at the path.
func (c *checker) assign(path string, v reflect.Value, value any) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s, isString := value.(string)
		if !isString || t.UnmarshalText([]byte(s)) != nil {
			c.add(path, value, textForm(t))
		}
		return
	}
	if _, ok := v.Interface().(Amount); ok {
		c.assignAmount(path, v, value)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		c.assignStruct(path, v, value)
	case reflect.Slice:
		c.assignSlice(path, v, value)
	case reflect.String:
		if s, ok := value.(string); ok {
			v.SetString(s)
		} else {
			c.add(path, value, "a string")
		}
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			v.SetBool(b)
		} else {
			c.add(path, value, "true or false")
		}
	case reflect.Int:
		c.assignInt(path, v, value)
	case reflect.Float64:
		n, ok := value.(json.Number)
		f, err := n.Float64()
		if !ok || err != nil {
			c.add(path, value, "a number")
			return
		}
		v.SetFloat(f)
	default:
		panic("conf: settings have a field of unsupported kind " + v.Kind().String())
	}
}

// textForm describes the valid values of a type that is decoded from a string.
func textForm(t encoding.TextUnmarshaler) string {
	if _, ok := t.(*Number); ok {
		return `a number in a string, such as "1.5"`
	}
	return `a duration with units in a string, such as "500ms" or "4s"`
}

func (c *checker) assignInt(path string, v reflect.Value, value any) {
	n, ok := value.(json.Number)
	i, err := n.Int64()
	if !ok || err != nil {
		c.add(path, value, "a whole number")
		return
	}
	v.SetInt(i)
}

func (c *checker) assignStruct(path string, v reflect.Value, value any) {
	object, ok := value.(map[string]any)
	if !ok {
		c.add(path, value, "an object")
		return
	}
	names := make([]string, 0, len(object))
	for n := range object {
		names = append(names, n)
	}
	sort.Strings(names)
	known := fieldNames(v.Type())
	for _, n := range names {
		i := slices.Index(known, n)
		if i < 0 {
			c.add(joinPath(path, n), "", "a known field: "+strings.Join(known, ", "))
			continue
		}
		c.assign(joinPath(path, n), v.Field(i), object[n])
	}
}

func (c *checker) assignSlice(path string, v reflect.Value, value any) {
	list, ok := value.([]any)
	if !ok {
		c.add(path, value, "a list")
		return
	}
	if len(list) > maxList {
		c.add(path, strconv.Itoa(len(list))+" elements", "at most "+strconv.Itoa(maxList)+" elements")
		return
	}
	if len(list) == 0 {
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list), len(list))
	for i, e := range list {
		c.assign(indexPath(path, i), out.Index(i), e)
	}
	v.Set(out)
}

// fieldNames returns the JSON names of a struct's fields in the order of their
// declaration.
func fieldNames(t reflect.Type) []string {
	out := make([]string, t.NumField())
	for i := range out {
		out[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return out
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
