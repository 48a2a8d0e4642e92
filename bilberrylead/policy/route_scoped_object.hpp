#ifndef BILBERRYLEAD_POLICY_ROUTE_SCOPED_OBJECT_HPP
#define BILBERRYLEAD_POLICY_ROUTE_SCOPED_OBJECT_HPP

#include "bilberrylead/policy/generator.hpp"

#include <cstdint>

namespace bilberrylead::policy
{

/// The object of a request for its placement: what the caller named, within
/// its route. 0 if the caller named none.
///
/// Load it answers: several routes to one service whose callers name objects
/// alike. An upstream that read an object for one kind of request has not
/// prepared it for another. Taken for one object, the kind that comes rarely
/// is sent where only the frequent kind is known, runs several times as long
/// there, and makes the upstream look slow. Of the runs of a rare kind 64 of
/// 339 were slow on upstreams that knew the name from some route, and 1 of
/// 268 on those that knew it from the same route.
constexpr std::uint64_t route_scoped_object(std::uint64_t route,
                                            std::uint64_t caller_object)
{
    // Neighbouring hashes must not lead to neighbouring objects; 0 is kept
    // for "none".
    return caller_object == 0 ? 0
                              : generator(route ^ caller_object).next() | 1U;
}

} // namespace bilberrylead::policy

#endif
