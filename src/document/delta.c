/* Creation and application of deltas.  */

#include "document/delta.h"

#include "base/ids.h"

#include <stdbool.h>
#include <string.h>

static const char replaced[] = "=";
static const char changed_object[] = "o";
static const char changed_array[] = "a";

/* Combines two hashes; their order matters.  */
static uint64_t
mix (uint64_t a, uint64_t b)
{
  uint64_t pair[] = { a, b };

  return bd_hash (pair, sizeof pair);
}

static uint64_t
checksum_of_object (const json_t *object)
{
  uint64_t sum = json_object_size (object);
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
    sum += mix (bd_hash (key, strlen (key)), bd_document_checksum (value));
  return sum;
}

static uint64_t
checksum_of_array (const json_t *array)
{
  uint64_t sum = json_array_size (array);
  json_t *value;
  size_t i;

  json_array_foreach (array, i, value)
    sum = mix (sum, bd_document_checksum (value));
  return sum;
}

static uint64_t
checksum_of_content (const json_t *value)
{
  json_int_t whole;
  double real;

  switch (json_typeof (value))
    {
    case JSON_OBJECT:
      return checksum_of_object (value);
    case JSON_ARRAY:
      return checksum_of_array (value);
    case JSON_STRING:
      return bd_hash (json_string_value (value), json_string_length (value));
    case JSON_INTEGER:
      whole = json_integer_value (value);
      return bd_hash (&whole, sizeof whole);
    case JSON_REAL:
      real = json_real_value (value);
      return bd_hash (&real, sizeof real);
    case JSON_TRUE:
    case JSON_FALSE:
    case JSON_NULL:
      break;
    }
  return 0;
}

uint64_t
bd_document_checksum (const json_t *document)
{
  uint64_t sum = document != NULL ? mix (json_typeof (document) + 1,
                                         checksum_of_content (document))
                                  : 1;

  return sum != 0 ? sum : 1;
}

static json_t *
replace (json_t *to)
{
  return json_pack ("[s,O]", replaced, to);
}

static json_t *
make_object_delta (json_t *from, json_t *to)
{
  json_t *changes = json_object ();
  json_t *removed = json_array ();
  const char *key;
  json_t *value;

  json_object_foreach (to, key, value)
    {
      json_t *before = json_object_get (from, key);

      if (before == NULL)
        json_object_set_new (changes, key, replace (value));
      else if (!json_equal (before, value))
        json_object_set_new (changes, key,
                             bd_document_make_delta (before, value));
    }
  json_object_foreach (from, key, value)
    if (json_object_get (to, key) == NULL)
      json_array_append_new (removed, json_string (key));
  return json_pack ("[s,o,o]", changed_object, changes, removed);
}

/* One run of items is replaced: that between the first and the last item that
   differ.  */
static json_t *
make_array_delta (json_t *from, json_t *to)
{
  size_t from_size = json_array_size (from);
  size_t to_size = json_array_size (to);
  size_t shorter = from_size < to_size ? from_size : to_size;
  size_t first = 0;
  size_t last = 0;
  json_t *items = json_array ();

  while (
      first < shorter
      && json_equal (json_array_get (from, first), json_array_get (to, first)))
    first++;
  while (last < shorter - first
         && json_equal (json_array_get (from, from_size - 1 - last),
                        json_array_get (to, to_size - 1 - last)))
    last++;
  for (size_t i = first; i < to_size - last; i++)
    json_array_append (items, json_array_get (to, i));
  return json_pack ("[s,I,I,o]", changed_array, (json_int_t)first,
                    (json_int_t)(from_size - first - last), items);
}

json_t *
bd_document_make_delta (json_t *from, json_t *to)
{
  if (json_is_object (from) && json_is_object (to))
    return make_object_delta (from, to);
  if (json_is_array (from) && json_is_array (to))
    return make_array_delta (from, to);
  return replace (to);
}

static bool
remove_members (json_t *object, const json_t *keys)
{
  const json_t *key;
  size_t i;

  json_array_foreach (keys, i, key)
    if (!json_is_string (key)
        || json_object_del (object, json_string_value (key)) != 0)
      return false;
  return json_is_array (keys);
}

static json_t *
apply_object_delta (json_t *document, json_t *changes, const json_t *removed)
{
  json_t *object = json_is_object (document) ? json_copy (document) : NULL;
  bool is_valid = object != NULL && json_is_object (changes)
                  && remove_members (object, removed);
  const char *key;
  json_t *change;

  if (is_valid)
    json_object_foreach (changes, key, change)
      {
        json_t *value = bd_document_apply_delta (
            json_object_get (document, key), change);

        /* The function frees value also if it fails.  */
        is_valid = is_valid && json_object_set_new (object, key, value) == 0;
      }
  if (is_valid)
    return object;
  json_decref (object);
  return NULL;
}

static json_t *
apply_array_delta (const json_t *document, const json_t *delta)
{
  size_t size = json_array_size (document);
  json_int_t at = json_integer_value (json_array_get (delta, 1));
  json_int_t count = json_integer_value (json_array_get (delta, 2));
  json_t *items = json_array_get (delta, 3);
  json_t *array;

  if (!json_is_array (document) || !json_is_array (items) || at < 0
      || (uint64_t)at > size || count < 0 || (uint64_t)count > size - at)
    return NULL;
  array = json_array ();
  for (size_t i = 0; i < (size_t)at; i++)
    json_array_append (array, json_array_get (document, i));
  json_array_extend (array, items);
  for (size_t i = at + count; i < size; i++)
    json_array_append (array, json_array_get (document, i));
  return array;
}

json_t *
bd_document_apply_delta (json_t *document, json_t *delta)
{
  const char *kind = json_string_value (json_array_get (delta, 0));

  if (kind == NULL)
    return NULL;
  if (strcmp (kind, replaced) == 0)
    return json_incref (json_array_get (delta, 1));
  if (strcmp (kind, changed_object) == 0)
    return apply_object_delta (document, json_array_get (delta, 1),
                               json_array_get (delta, 2));
  if (strcmp (kind, changed_array) == 0)
    return apply_array_delta (document, delta);
  return NULL;
}
