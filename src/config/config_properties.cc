/* Property: when heads arrive in any order, neither the active revision nor
   the generation of a service ever decreases.  */

#include <glib.h>
#include <jansson.h>

extern "C"
{
#include "config/config.h"
#include "config/patch.h"
}

#include <cstdio>
#include <rapidcheck.h>
#include <string>

namespace
{

std::string
text_of (unsigned service, unsigned variant)
{
  std::string name = "s" + std::to_string (service);
  /* Variant 3 is invalid.  Variant 2 conflicts with another service.  */
  std::string prefix = variant == 3 ? "broken"
                       : variant == 2
                           ? "/shared/"
                           : "/" + name + std::to_string (variant) + "/";

  return "service = \"" + name + "\"\npool = \"p\"\n[route]\nprefix = \""
         + prefix + "\"\n";
}

struct Publication
{
  unsigned service;
  unsigned variant;
  unsigned generation;
  bool is_removed;
};

void
showValue (const Publication &p, std::ostream &os)
{
  os << "(" << p.service << "," << p.variant << "," << p.generation << ","
     << p.is_removed << ")";
}

rc::Gen<Publication>
genPublication ()
{
  return rc::gen::build<Publication> (
      rc::gen::set (&Publication::service, rc::gen::inRange (0u, 3u)),
      rc::gen::set (&Publication::variant, rc::gen::inRange (0u, 4u)),
      rc::gen::set (&Publication::generation, rc::gen::inRange (1u, 9u)),
      rc::gen::set (
          &Publication::is_removed,
          rc::gen::weightedElement<bool> ({ { 5, false }, { 1, true } })));
}

int64_t
generation_in (const json_t *head, const std::string &name)
{
  const json_t *entry
      = json_object_get (json_object_get (head, "services"), name.c_str ());
  int64_t removed = json_integer_value (
      json_object_get (json_object_get (head, "removed"), name.c_str ()));
  int64_t accepted
      = json_integer_value (json_object_get (entry, "generation"));

  return accepted > removed ? accepted : removed;
}

}

int
main ()
{
  bool is_passed = rc::check ("revision and generation never decrease", [] {
    auto steps = *rc::gen::container<std::vector<Publication> > (
        30, genPublication ());
    std::vector<json_t *> heads;
    struct bd_config config;
    bd_config_init (&config);
    for (const Publication &p : steps)
      {
        std::string name = "s" + std::to_string (p.service);
        std::string text = p.is_removed ? "" : text_of (p.service, p.variant);
        struct bd_published file
            = { name.c_str (), name.c_str (), text.c_str (),
                "o",           p.generation,  p.is_removed };
        struct bd_acceptance out;
        bd_config_accept (heads.empty () ? nullptr : heads.back (), &file, 1,
                          "k", 0, &out);
        json_decref (out.decisions);
        if (out.head == nullptr)
          continue;
        for (int s = 0; s < 3 && !heads.empty (); s++)
          {
            std::string other = "s" + std::to_string (s);
            RC_ASSERT (generation_in (out.head, other)
                       >= generation_in (heads.back (), other));
          }
        heads.push_back (out.head);
      }
    auto order = *rc::gen::container<std::vector<unsigned> > (
        60, rc::gen::inRange (0u, 1000u));
    for (unsigned pick : order)
      {
        int64_t before = config.revision;
        if (heads.empty ())
          break;
        const json_t *head = heads[pick % heads.size ()];
        enum bd_error error = bd_config_adopt (&config, head);
        RC_ASSERT (config.revision >= before);
        RC_ASSERT ((error == BD_OK) == (bd_head_revision (head) > before));
        /* A patch between any two heads turns the first into the second.  */
        const json_t *from = heads[(pick / 7) % heads.size ()];
        json_t *patch = bd_head_make_patch (from, head);
        json_t *patched = bd_head_apply_patch (from, patch);
        RC_ASSERT (json_equal (patched, head) == 1);
        RC_ASSERT (bd_head_is_patch (patch));
        RC_ASSERT (!bd_head_is_patch (head));
        if (bd_head_revision (from) != bd_head_revision (heads.back ()))
          RC_ASSERT (bd_head_apply_patch (heads.back (), patch) == nullptr);
        json_decref (patched);
        json_decref (patch);
      }
    bd_config_finish (&config);
    for (json_t *head : heads)
      json_decref (head);
  });

  return is_passed ? 0 : 1;
}
