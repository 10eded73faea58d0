/* Reads TOML trees into C structures, driven by tables of fields.  */

#include "base/toml.h"

#include "base/ids.h"

#include <ctype.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

void
bd_faults_add (struct bd_faults *faults, const char *file_name, uint32_t line,
               const char *format, ...)
{
  va_list args;
  char *message;

  va_start (args, format);
  message = talloc_vasprintf (faults->ctx, format, args);
  va_end (args);
  if (faults->text == NULL)
    faults->text = talloc_strdup (faults->ctx, "");
  faults->text = talloc_asprintf_append_buffer (
      faults->text, "%s:%u: error: %s\n", file_name, line, message);
  faults->count++;
  talloc_free (message);
}

static bool
is_valid_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length >= BD_NAME_SIZE)
    return false;
  for (const char *p = text; *p != '\0'; p++)
    if (!isalnum ((unsigned char)*p) && strchr ("._-", *p) == NULL)
      return false;
  return true;
}

static const char *
kind_description (enum bd_field_kind kind)
{
  static const char *const descriptions[]
      = { "a name",   "a string",      "a whole number",  "a number",
          "a number", "true or false", "a table or array" };

  return descriptions[kind];
}

static bool
is_in_range (const struct bd_field *field, double value)
{
  return value >= field->min && value <= field->max;
}

static bool
is_number (const struct bd_toml *node)
{
  return (node->kind == BD_TOML_INTEGER || node->kind == BD_TOML_FLOAT)
         && !isnan (node->number);
}

/* Stores one value in its member of out.  Returns false if its type or range
   is wrong.  */
static bool
store_value (const struct bd_field *field, const struct bd_toml *node,
             void *ctx, void *out)
{
  void *destination = (char *)out + field->offset;

  switch (field->kind)
    {
    case BD_FIELD_NAME:
      if (node->kind != BD_TOML_STRING || !is_valid_name (node->string))
        return false;
      bd_name_copy (destination, node->string);
      return true;
    case BD_FIELD_TEXT:
      if (node->kind != BD_TOML_STRING)
        return false;
      *(const char **)destination = talloc_strdup (ctx, node->string);
      return true;
    case BD_FIELD_U32:
      if (node->kind != BD_TOML_INTEGER || !is_in_range (field, node->number))
        return false;
      *(uint32_t *)destination = (uint32_t)node->integer;
      return true;
    case BD_FIELD_CLAMPED_U32:
      if (!is_number (node))
        return false;
      *(uint32_t *)destination = (uint32_t)fmin (
          fmax (round (node->number), field->min), field->max);
      return true;
    case BD_FIELD_DOUBLE:
      if (!is_number (node) || !is_in_range (field, node->number))
        return false;
      *(double *)destination = node->number;
      return true;
    case BD_FIELD_BOOL:
      if (node->kind != BD_TOML_BOOLEAN)
        return false;
      *(bool *)destination = node->boolean;
      return true;
    case BD_FIELD_TABLE:
      if (node->kind != BD_TOML_TABLE && node->kind != BD_TOML_ARRAY)
        return false;
      *(const struct bd_toml **)destination = node;
      return true;
    }
  return false;
}

static void
report_bad_value (const struct bd_field *field, const struct bd_toml *node,
                  const char *file_name, struct bd_faults *faults)
{
  bool has_range
      = field->kind == BD_FIELD_U32 || field->kind == BD_FIELD_DOUBLE;

  if (has_range)
    bd_faults_add (faults, file_name, node->line,
                   "'%s' must be %s from %g to %g", field->key,
                   kind_description (field->kind), field->min, field->max);
  else
    bd_faults_add (faults, file_name, node->line, "'%s' must be %s",
                   field->key, kind_description (field->kind));
}

static const struct bd_field *
find_field (const struct bd_field *fields, size_t count, const char *key)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0)
      return &fields[i];
  return NULL;
}

static bool
has_key (const struct bd_toml *table, const char *key)
{
  for (const struct bd_toml *n = table->first_child; n != NULL; n = n->next)
    if (strcmp (n->key, key) == 0)
      return true;
  return false;
}

bool
bd_fields_read (const struct bd_toml *table, const char *file_name,
                const struct bd_field *fields, size_t count, void *ctx,
                void *out, struct bd_faults *faults)
{
  uint32_t faults_before = faults->count;

  if (table->kind != BD_TOML_TABLE)
    {
      bd_faults_add (faults, file_name, table->line, "must be a table");
      return false;
    }
  for (const struct bd_toml *n = table->first_child; n != NULL; n = n->next)
    {
      const struct bd_field *field = find_field (fields, count, n->key);
      if (field == NULL)
        bd_faults_add (faults, file_name, n->line, "unknown key '%s'", n->key);
      else if (!store_value (field, n, ctx, out))
        report_bad_value (field, n, file_name, faults);
    }
  for (size_t i = 0; i < count; i++)
    if (fields[i].is_required && !has_key (table, fields[i].key))
      bd_faults_add (faults, file_name, table->line, "missing key '%s'",
                     fields[i].key);
  return faults->count == faults_before;
}

bool
bd_toml_read_names (const struct bd_toml *array, const char *file_name,
                    void *ctx, const char ***names, uint32_t *count,
                    struct bd_faults *faults)
{
  uint32_t used = 0;

  *names = NULL;
  *count = 0;
  for (const struct bd_toml *n = array->first_child; n != NULL; n = n->next)
    {
      if (n->kind != BD_TOML_STRING || !is_valid_name (n->string))
        {
          bd_faults_add (faults, file_name, n->line,
                         "'%s' must contain only names",
                         array->key != NULL ? array->key : "array");
          return false;
        }
      *names = talloc_realloc (ctx, *names, const char *, used + 1);
      (*names)[used++] = talloc_strdup (ctx, n->string);
    }
  *count = used;
  return true;
}

char *
bd_file_read (void *ctx, const char *path, size_t *size)
{
  FILE *file = fopen (path, "rb");
  char *text = talloc_strdup (ctx, "");
  size_t used = 0;
  size_t read_count;
  char chunk[4096];

  if (file == NULL)
    {
      talloc_free (text);
      return NULL;
    }
  while ((read_count = fread (chunk, 1, sizeof chunk, file)) > 0)
    {
      text = talloc_realloc (ctx, text, char, used + read_count + 1);
      memcpy (text + used, chunk, read_count);
      used += read_count;
    }
  text[used] = '\0';
  if (ferror (file))
    TALLOC_FREE (text);
  fclose (file);
  *size = used;
  return text;
}
