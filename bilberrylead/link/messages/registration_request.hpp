#ifndef BILBERRYLEAD_LINK_MESSAGES_REGISTRATION_REQUEST_HPP
#define BILBERRYLEAD_LINK_MESSAGES_REGISTRATION_REQUEST_HPP

#include <cstdint>

namespace bilberrylead::link
{

/// An entry host asks for its incarnation to be the valid one, after which
/// what its earlier ones left open counts as outcome unknown.
struct registration_request
{
    /// The sender's incarnation.
    std::uint64_t incarnation = 0;
};

} // namespace bilberrylead::link

#endif
