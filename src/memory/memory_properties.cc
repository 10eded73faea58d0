/* Properties of the account of buffered bytes, for random sequences of shares
   that grow, shrink and leave.  */

extern "C"
{
#include "memory/memory.h"
}

#include <map>
#include <rapidcheck.h>
#include <vector>

namespace
{

struct Share
{
  struct bd_memory_share share;
  bool was_evicted = false;
};

void
note_eviction (void *ctx)
{
  static_cast<Share *> (ctx)->was_evicted = true;
}

size_t
sum (const std::vector<Share> &shares)
{
  size_t total = 0;

  for (const Share &s : shares)
    total += s.share.bytes;
  return total;
}

size_t
sum_of_source (const std::vector<Share> &shares, uint64_t source)
{
  size_t total = 0;

  for (const Share &s : shares)
    if (s.share.source == source)
      total += s.share.bytes;
  return total;
}

/* The sum is never over the limit, and always that of the shares.  */
bool
check_limit (void)
{
  return rc::check ("sum of all shares is within the limit", [] {
    struct bd_memory memory;
    size_t limit = *rc::gen::inRange<size_t> (1, 100000);
    std::vector<Share> shares (*rc::gen::inRange<size_t> (1, 40));
    auto steps = *rc::gen::container<
        std::vector<std::tuple<size_t, size_t, bool> > > (rc::gen::tuple (
        rc::gen::inRange<size_t> (0, 1000),
        rc::gen::inRange<size_t> (0, 200000), rc::gen::arbitrary<bool> ()));

    bd_memory_init (&memory, limit);
    for (size_t i = 0; i < shares.size (); i++)
      bd_memory_join (&shares[i].share, &memory, i % 7, note_eviction,
                      &shares[i]);
    for (auto [index, bytes, shrinks] : steps)
      {
        Share &s = shares[index % shares.size ()];
        size_t wanted = shrinks ? s.share.bytes / 2 : bytes;

        s.was_evicted = false;
        bool is_left = bd_memory_resize (&s.share, wanted);
        RC_ASSERT (is_left == !s.was_evicted);
        RC_ASSERT (s.share.bytes == (is_left ? wanted : 0));
        RC_ASSERT (memory.used_bytes <= limit);
        RC_ASSERT (memory.used_bytes == sum (shares));
      }
    for (Share &s : shares)
      bd_memory_leave (&s.share);
    RC_ASSERT (memory.used_bytes == 0u);
    RC_ASSERT (memory.shares == nullptr);
  });
}

/* Sources that together take less than a quarter of the limit lose nothing. */
bool
check_sound_sources (void)
{
  return rc::check ("a source without end evicts only its own shares", [] {
    struct bd_memory memory;
    const size_t limit = 64000;
    size_t sound_count = *rc::gen::inRange<size_t> (1, 30);
    size_t faulty_count = *rc::gen::inRange<size_t> (1, 30);
    std::vector<Share> sound (sound_count);
    std::vector<Share> faulty (faulty_count);
    auto order = *rc::gen::container<std::vector<size_t> > (
        400, rc::gen::inRange<size_t> (0, 1000));

    bd_memory_init (&memory, limit);
    for (size_t i = 0; i < sound_count; i++)
      bd_memory_join (&sound[i].share, &memory, i, note_eviction, &sound[i]);
    for (size_t i = 0; i < faulty_count; i++)
      bd_memory_join (&faulty[i].share, &memory, 1000, note_eviction,
                      &faulty[i]);
    for (size_t step : order)
      {
        struct bd_memory_share *f = &faulty[step % faulty_count].share;

        RC_ASSERT (bd_memory_resize (&sound[step % sound_count].share,
                                     step % (limit / 4 / sound_count)));
        bd_memory_resize (f, f->bytes + 4096);
      }
    for (const Share &s : sound)
      RC_ASSERT (!s.was_evicted);
    RC_ASSERT (sum_of_source (faulty, 1000) + sum (sound) <= limit);
  });
}

} // namespace

int
main (void)
{
  bool is_ok = check_limit ();

  is_ok &= check_sound_sources ();
  return is_ok ? 0 : 1;
}
