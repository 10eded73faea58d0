/* The C++ TOML parser behind the C interface of base/toml.h.
   No exception leaves this file.  */

extern "C"
{
#include "base/toml.h"
}

#include <algorithm>
#include <stdexcept>
#include <string>
#include <string_view>
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

/* Parts of a key.  Each is a nested table, and the tree is converted and freed
   recursively.  The parser bounds the nesting of values only.  */
constexpr size_t MAX_KEY_PARTS = 64;

/* Returns the position after the string that begins at position at.  One of
   several lines can end with up to two quotes of its own.  */
size_t
skip_string (std::string_view text, size_t at)
{
  char quote = text[at];
  const std::string triple (3, quote);
  bool is_multi_line = text.substr (at, 3) == triple;

  for (at += is_multi_line ? 3 : 1; at < text.size (); at++)
    if (text[at] == '\\' && quote == '"')
      at++;
    else if (is_multi_line && text.substr (at, 3) == triple)
      {
        size_t end = text.find_first_not_of (quote, at);
        return std::min ({ end, at + 5, text.size () });
      }
    else if (!is_multi_line && (text[at] == quote || text[at] == '\n'))
      return text[at] == quote ? at + 1 : at;
  return text.size ();
}

/* Whether a key has more than MAX_KEY_PARTS.  */
bool
has_long_key (std::string_view text)
{
  size_t dots = 0;

  for (size_t at = 0; at < text.size ();)
    {
      char c = text[at];

      if (c == '"' || c == '\'')
        {
          at = skip_string (text, at);
          continue;
        }
      if (c == '#')
        at = std::min (text.find ('\n', at), text.size () - 1);
      if (std::string_view ("=\n{},[]#").find (c) != std::string_view::npos)
        dots = 0;
      else if (c == '.' && ++dots >= MAX_KEY_PARTS)
        return true;
      at++;
    }
  return false;
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
  if (has_long_key (std::string_view (text, size)))
    {
      bd_faults_add (faults, file_name, 1, "a key has too many parts");
      return nullptr;
    }
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
