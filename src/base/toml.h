/* TOML documents as a tree, and a table-driven reader for them.

   The parser is a C++ library; this header is all that C code sees of it.
   Every node keeps its line, so that each fault names its place.  */

#ifndef BD_BASE_TOML_H
#define BD_BASE_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum bd_toml_kind
{
  BD_TOML_TABLE,
  BD_TOML_ARRAY,
  BD_TOML_STRING,
  BD_TOML_INTEGER,
  BD_TOML_FLOAT,
  BD_TOML_BOOLEAN,
  BD_TOML_OTHER
};

/* One value.  Tables and arrays chain their entries from first_child.  */
struct bd_toml
{
  enum bd_toml_kind kind;
  const char *key; /* NULL for entries of an array and for the root.  */
  uint32_t line;
  const char *string;
  int64_t integer;
  double number;
  bool boolean;
  struct bd_toml *first_child;
  struct bd_toml *next;
};

/* Faults found in files, each as "file:line: error: text".  */
struct bd_faults
{
  void *ctx;  /* talloc context of the texts.  */
  char *text; /* All faults, a line each; NULL when there is none.  */
  uint32_t count;
};

/* bd_toml_parse(): parses text into a tree on ctx.
   Takes the file's name for faults.  Returns the root table, or NULL after
   adding a fault.  */
struct bd_toml *bd_toml_parse (void *ctx, const char *file_name,
                               const char *text, size_t size,
                               struct bd_faults *faults);

/* bd_faults_add(): adds one fault.  */
void bd_faults_add (struct bd_faults *faults, const char *file_name,
                    uint32_t line, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* What a field of a C structure takes from a table.  */
enum bd_field_kind
{
  BD_FIELD_NAME,   /* char[BD_NAME_SIZE]: letters, digits, . _ - */
  BD_FIELD_TEXT,   /* const char *: any text, kept on the caller's ctx.  */
  BD_FIELD_U32,    /* uint32_t, between min and max.  */
  BD_FIELD_DOUBLE, /* double, between min and max.  */
  BD_FIELD_BOOL,   /* bool.  */
  BD_FIELD_TABLE   /* const struct bd_toml *: a table or array, read later.  */
};

struct bd_field
{
  const char *key;
  enum bd_field_kind kind;
  size_t offset;
  double min;
  double max;
  bool is_required;
};

/* bd_fields_read(): fills out from table by the list of fields.
   Reports unknown keys, wrong types, values out of range and missing keys as
   faults; fields that are absent keep the value that out had before.
   Returns true when the table added no fault.  */
bool bd_fields_read (const struct bd_toml *table, const char *file_name,
                     const struct bd_field *fields, size_t count, void *ctx,
                     void *out, struct bd_faults *faults);

/* bd_toml_read_names(): reads an array of names into a new array on ctx.
   Returns false after adding a fault.  */
bool bd_toml_read_names (const struct bd_toml *array, const char *file_name,
                         void *ctx, const char ***names, uint32_t *count,
                         struct bd_faults *faults);

/* bd_file_read(): a whole file as text on ctx; NULL when it cannot be read. */
char *bd_file_read (void *ctx, const char *path, size_t *size);

#endif
