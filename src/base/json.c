/* Decoding of JSON from other programs.

   What the library refuses as a whole is split into its members or elements,
   which are then decoded one by one, down to MAX_LEVELS, which also bounds
   how often a byte is decoded.

   Decoded values take up to 80 times the memory of their text.  So the cost of
   a text is estimated before it is decoded.  One over the limit is split as
   well; its small parts come first, so that a large one costs itself only.  */

#include "base/json.h"

#include <stdint.h>
#include <string.h>

enum
{
  /* Nesting to which a text is split.  */
  MAX_LEVELS = 12,
  /* Costs, in units of roughly 50 to 100 bytes of memory.  */
  VALUE_COST = 1,
  ARRAY_COST = 2,
  OBJECT_COST = 4,
  MAX_COST = 128 * 1024,
  /* Of a part that is decoded before larger ones.  */
  MAX_SMALL_COST = 2 * 1024
};

struct cursor
{
  const char *text;
  size_t size;
  size_t at;
};

/* A text that is being decoded.  */
struct decoder
{
  struct bd_json *json;
  /* Where the library has last refused a part.  What contains this position
     need not be tried again as a whole.  */
  const char *failed_at;
  size_t cost_left;
};

static json_t *load_part (struct decoder *decoder, const char *text,
                          size_t size, uint32_t levels);

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static void
skip_blanks (struct cursor *cursor)
{
  while (cursor->at < cursor->size && is_blank (cursor->text[cursor->at]))
    cursor->at++;
}

/* Skips a string, of which the opening quote is the current character.  */
static void
skip_string (struct cursor *cursor)
{
  for (cursor->at++; cursor->at < cursor->size; cursor->at++)
    {
      char c = cursor->text[cursor->at];

      if (c == '\\')
        cursor->at++;
      else if (c == '"')
        {
          cursor->at++;
          return;
        }
    }
  cursor->at = cursor->size;
}

/* Skips a member or an element, up to the comma or the bracket after it.
   Returns false when the text ends first.  */
static bool
skip_part (struct cursor *cursor)
{
  size_t depth = 0;

  while (cursor->at < cursor->size)
    {
      char c = cursor->text[cursor->at];

      if (c == '"')
        {
          skip_string (cursor);
          continue;
        }
      if (depth == 0 && (c == ',' || c == '}' || c == ']'))
        return true;
      if (c == '{' || c == '[')
        depth++;
      else if (c == '}' || c == ']')
        depth--;
      cursor->at++;
    }
  return false;
}

/* Estimates the memory that a text takes once it is decoded.  */
static size_t
estimate_cost (const char *text, size_t size)
{
  struct cursor cursor = { .text = text, .size = size };
  size_t cost = VALUE_COST;

  while (cursor.at < size)
    {
      char c = text[cursor.at];

      if (c == '"')
        {
          skip_string (&cursor);
          continue;
        }
      if (c == '{')
        cost += OBJECT_COST;
      else if (c == '[')
        cost += ARRAY_COST;
      else if (c == ',')
        cost += VALUE_COST;
      cursor.at++;
    }
  return cost;
}

/* Takes the cost of the small parts of an object or array, at whose opening
   bracket the cursor is, from what is left.  Returns false when it is more
   than that.  */
static bool
reserve_small_parts (struct decoder *decoder, struct cursor cursor)
{
  size_t total = 0;

  do
    {
      size_t start = ++cursor.at;
      size_t cost;

      if (!skip_part (&cursor))
        break;
      cost = estimate_cost (cursor.text + start, cursor.at - start);
      if (cost <= MAX_SMALL_COST)
        total += cost;
    }
  while (cursor.text[cursor.at] == ',');
  if (total > decoder->cost_left)
    return false;
  decoder->cost_left -= total;
  return true;
}

static void
release (gpointer value)
{
  json_decref (value);
}

static void
mark_damaged (struct decoder *decoder, json_t *value)
{
  /* The set holds references: the address of a value that is not part of the
     result must not be given out again.  */
  if (decoder->json->damaged == NULL)
    decoder->json->damaged = g_hash_table_new_full (NULL, NULL, release, NULL);
  g_hash_table_add (decoder->json->damaged, json_incref (value));
}

/* Decodes a member's or an element's value.  Returns null, and marks the
   container, if that fails.  */
static json_t *
load_child (struct decoder *decoder, json_t *container, const char *text,
            size_t size, uint32_t levels)
{
  json_t *value = load_part (decoder, text, size, levels - 1);

  if (value == NULL || bd_json_is_damaged (decoder->json, value))
    mark_damaged (decoder, container);
  return value != NULL ? value : json_null ();
}

static void
add_member (struct decoder *decoder, json_t *object, const char *text,
            size_t size, uint32_t levels)
{
  struct cursor cursor = { .text = text, .size = size };
  json_t *key = NULL;

  skip_blanks (&cursor);
  if (cursor.at < size && text[cursor.at] == '"')
    {
      skip_string (&cursor);
      /* Its cost is that of the member.  */
      decoder->cost_left += VALUE_COST;
      key = load_part (decoder, text, cursor.at, 0);
    }
  skip_blanks (&cursor);
  if (key == NULL || cursor.at >= size || text[cursor.at] != ':')
    mark_damaged (decoder, object);
  else
    json_object_set_new (object, json_string_value (key),
                         load_child (decoder, object, text + cursor.at + 1,
                                     size - cursor.at - 1, levels));
  json_decref (key);
}

static void
add_part (struct decoder *decoder, json_t *container, const char *text,
          size_t size, uint32_t levels)
{
  size_t cost = estimate_cost (text, size);

  if (cost <= MAX_SMALL_COST)
    decoder->cost_left += cost;
  if (json_is_object (container))
    add_member (decoder, container, text, size, levels);
  else
    json_array_append_new (
        container, load_child (decoder, container, text, size, levels));
}

/* Decodes the parts of an object or array one by one, unless the small ones
   alone cost too much.  The cursor is at its opening bracket.  */
static json_t *
load_parts (struct decoder *decoder, struct cursor *cursor, uint32_t levels)
{
  char closing = cursor->text[cursor->at] == '{' ? '}' : ']';
  json_t *container;

  if (!reserve_small_parts (decoder, *cursor))
    return NULL;
  container = closing == '}' ? json_object () : json_array ();
  do
    {
      size_t start = ++cursor->at;

      if (!skip_part (cursor))
        break;
      add_part (decoder, container, cursor->text + start, cursor->at - start,
                levels);
    }
  while (cursor->text[cursor->at] == ',');
  if (cursor->at < cursor->size && cursor->text[cursor->at] == closing)
    {
      cursor->at++;
      skip_blanks (cursor);
      if (cursor->at == cursor->size)
        return container;
    }
  json_decref (container);
  return NULL;
}

/* Decodes a string after invalid UTF-8 in it is replaced.  */
static json_t *
load_valid_string (struct decoder *decoder, const char *text, size_t size)
{
  char *valid = g_utf8_make_valid (text, (gssize)size);
  json_t *value = json_loads (valid, JSON_DECODE_ANY, NULL);

  g_free (valid);
  if (value != NULL)
    mark_damaged (decoder, value);
  return value;
}

static json_t *
load_part (struct decoder *decoder, const char *text, size_t size,
           uint32_t levels)
{
  struct cursor cursor = { .text = text, .size = size };
  json_error_t error;
  json_t *value;
  size_t cost;
  bool can_split;

  skip_blanks (&cursor);
  if (cursor.at == size)
    return NULL;
  can_split = levels > 0 && (text[cursor.at] == '{' || text[cursor.at] == '[');
  cost = estimate_cost (text, size);
  if (cost > decoder->cost_left)
    return can_split ? load_parts (decoder, &cursor, levels) : NULL;
  if (can_split && decoder->failed_at >= text
      && decoder->failed_at < text + size)
    return load_parts (decoder, &cursor, levels);
  value = json_loadb (text, size, JSON_DECODE_ANY, &error);
  if (value != NULL)
    {
      decoder->cost_left -= cost;
      return value;
    }
  decoder->failed_at = text + error.position;
  if (can_split)
    return load_parts (decoder, &cursor, levels);
  return text[cursor.at] == '"' ? load_valid_string (decoder, text, size)
                                : NULL;
}

bool
bd_json_load (struct bd_json *json, const char *text, size_t size)
{
  struct decoder decoder = { .json = json, .cost_left = MAX_COST };

  memset (json, 0, sizeof *json);
  json->value = load_part (&decoder, text, size, MAX_LEVELS);
  return json->value != NULL;
}

bool
bd_json_is_damaged (const struct bd_json *json, const json_t *value)
{
  return json->damaged != NULL && g_hash_table_contains (json->damaged, value);
}

void
bd_json_finish (struct bd_json *json)
{
  json_decref (json->value);
  if (json->damaged != NULL)
    g_hash_table_destroy (json->damaged);
}
