/* Stages of a message for all daemons.  */

#include "membership/news.h"

struct bd_news_receivers
bd_news_start (bool is_small_fleet, bool is_relay)
{
  if (is_small_fleet)
    return (struct bd_news_receivers){ .members = true };
  if (!is_relay)
    return (struct bd_news_receivers){ .own_relays = true };
  return (struct bd_news_receivers){ .other_relays = true, .members = true };
}

struct bd_news_receivers
bd_news_forward (enum bd_news_stage stage, bool is_relay)
{
  switch (stage)
    {
    case BD_NEWS_TO_OWN_RELAYS:
      /* A daemon that is no relay was taken for one.  */
      return (struct bd_news_receivers){ .other_relays = is_relay,
                                         .members = is_relay };
    case BD_NEWS_TO_OTHER_RELAYS:
      return (struct bd_news_receivers){ .members = true };
    case BD_NEWS_TO_MEMBERS:
      break;
    }
  return (struct bd_news_receivers){ .members = false };
}
