#ifndef BILBERRYLEAD_POLICY_SLOT_DEAL_HPP
#define BILBERRYLEAD_POLICY_SLOT_DEAL_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::policy
{

/// The part of a zone's slots that entry host `host` of `hosts` may use
/// without asking anybody: how many slots of each upstream. For a zone
/// whose entry hosts have no owner to ask; a slot_owner over this part
/// decides as usual.
///
/// Slots are dealt in turn over all upstreams, so that parts differ by one
/// slot at most, and every host has a part of nearly every upstream. All
/// hosts must deal by the same list of hosts: deal again only when every
/// grant under the former list has ended, or a slot is used twice.
std::vector<std::uint32_t> deal_slots(std::vector<std::uint32_t> const& slots,
                                      std::size_t host, std::size_t hosts);

} // namespace bilberrylead::policy

#endif
