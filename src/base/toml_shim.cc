/* The C++ TOML parser behind the C interface of base/toml.h.
   No exception leaves this file.  */

extern "C"
{
#include "base/toml.h"
}

#include <stdexcept>
#include <string>
#include <talloc.h>

/* The parser asserts on some malformed input.  Its assertions throw instead,
   so that a malformed published file does not abort the process.  */
constexpr void
throw_unless (bool is_true)
{
  if (!is_true)
    throw std::runtime_error ("malformed input");
}
#define TOML_ASSERT(condition) throw_unless (static_cast<bool> (condition))
#include <toml++/toml.h>

namespace
{

char *
copy (void *ctx, std::string_view text)
{
  return talloc_strndup (ctx, text.data (), text.size ());
}

bd_toml *convert (void *ctx, const toml::node &node);

void
append (bd_toml *parent, bd_toml **last, bd_toml *child)
{
  if (*last == nullptr)
    parent->first_child = child;
  else
    (*last)->next = child;
  *last = child;
}

void
convert_table (void *ctx, const toml::table &table, bd_toml *out)
{
  bd_toml *last = nullptr;

  for (auto &&[key, value] : table)
    {
      bd_toml *child = convert (ctx, value);
      child->key = copy (ctx, key.str ());
      child->line = key.source ().begin.line;
      append (out, &last, child);
    }
}

void
convert_array (void *ctx, const toml::array &array, bd_toml *out)
{
  bd_toml *last = nullptr;

  for (auto &&value : array)
    append (out, &last, convert (ctx, value));
}

bd_toml *
convert (void *ctx, const toml::node &node)
{
  auto *out = talloc_zero (ctx, struct bd_toml);

  out->line = node.source ().begin.line;
  out->kind = BD_TOML_OTHER;
  if (const auto *table = node.as_table ())
    {
      out->kind = BD_TOML_TABLE;
      convert_table (ctx, *table, out);
    }
  else if (const auto *array = node.as_array ())
    {
      out->kind = BD_TOML_ARRAY;
      convert_array (ctx, *array, out);
    }
  else if (const auto *string = node.as_string ())
    {
      out->kind = BD_TOML_STRING;
      out->string = copy (ctx, string->get ());
    }
  else if (const auto *integer = node.as_integer ())
    {
      out->kind = BD_TOML_INTEGER;
      out->integer = integer->get ();
      out->number = static_cast<double> (integer->get ());
    }
  else if (const auto *number = node.as_floating_point ())
    {
      out->kind = BD_TOML_FLOAT;
      out->number = number->get ();
    }
  else if (const auto *boolean = node.as_boolean ())
    {
      out->kind = BD_TOML_BOOLEAN;
      out->boolean = boolean->get ();
    }
  return out;
}

}

extern "C" struct bd_toml *
bd_toml_parse (void *ctx, const char *file_name, const char *text, size_t size,
               struct bd_faults *faults)
{
  try
    {
      toml::table table = toml::parse (std::string_view (text, size),
                                       std::string_view (file_name));
      return convert (ctx, table);
    }
  catch (const toml::parse_error &error)
    {
      std::string description (error.description ());
      bd_faults_add (faults, file_name, error.source ().begin.line, "%s",
                     description.c_str ());
    }
  catch (...)
    {
      bd_faults_add (faults, file_name, 1, "is not valid TOML");
    }
  return nullptr;
}
