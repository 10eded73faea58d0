/* TOML documents as a tree, and a table-driven reader for them.

   The parser is a C++ library; this header is its C interface.  Every node
   stores its line, so that error messages can name it.  */

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

/* One value.  The entries of a table or array are a linked list that starts at
   first_child.  */
struct bd_toml
{
  enum bd_toml_kind kind;
  const char *key; /* NULL for array entries and for the root.  */
  uint32_t line;
  const char *string;
  int64_t integer;
  double number;
  bool boolean;
  struct bd_toml *first_child;
  struct bd_toml *next;
};

/* Errors found in files, each as "file:line: error: text".  */
struct bd_faults
{
  void *ctx;  /* talloc context of the texts.  */
  char *text; /* All errors, one per line; NULL if there are none.  */
  uint32_t count;
};

/* bd_toml_parse(): parses size bytes of text into a tree on ctx.
   file_name is used in error messages only.  Returns the root table, or NULL
   after adding an error to faults.  */
struct bd_toml *bd_toml_parse (void *ctx, const char *file_name,
                               const char *text, size_t size,
                               struct bd_faults *faults);

/* bd_faults_add(): adds one error.  format and its arguments are those of
   printf().  */
void bd_faults_add (struct bd_faults *faults, const char *file_name,
                    uint32_t line, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* The C type of a structure member and the TOML values that it accepts.  */
enum bd_field_kind
{
  BD_FIELD_NAME,        /* char[BD_NAME_SIZE]: letters, digits, . _ - */
  BD_FIELD_TEXT,        /* const char *: any string, copied to ctx.  */
  BD_FIELD_U32,         /* uint32_t, between min and max.  */
  BD_FIELD_CLAMPED_U32, /* uint32_t from any number, also one with a fraction:
                           rounded and limited to min and max.  */
  BD_FIELD_DOUBLE,      /* double, between min and max.  */
  BD_FIELD_BOOL,        /* bool.  */
  BD_FIELD_TABLE /* const struct bd_toml *: a table or array, not read.  */
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

/* bd_fields_read(): reads table into the structure out, as described by
   fields.
   Adds unknown keys, wrong types, values out of range and missing keys to
   faults.  Members whose key is absent keep their value.  Returns true if no
   error was added.  */
bool bd_fields_read (const struct bd_toml *table, const char *file_name,
                     const struct bd_field *fields, size_t count, void *ctx,
                     void *out, struct bd_faults *faults);

/* bd_toml_read_names(): reads an array of names into a new array on ctx.
   Returns false after adding an error to faults.  */
bool bd_toml_read_names (const struct bd_toml *array, const char *file_name,
                         void *ctx, const char ***names, uint32_t *count,
                         struct bd_faults *faults);

/* bd_file_read(): reads a file into a null-terminated string on ctx and stores
   its length in bytes in *size.  Returns NULL if the file cannot be
   opened or read.  */
char *bd_file_read (void *ctx, const char *path, size_t *size);

#endif
