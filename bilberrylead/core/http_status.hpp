#ifndef BILBERRYLEAD_CORE_HTTP_STATUS_HPP
#define BILBERRYLEAD_CORE_HTTP_STATUS_HPP

namespace bilberrylead
{

/// True if a status has a meaning (RFC 9110, 15). An answer with any other one
/// is invalid, although three digits make it parsable.
constexpr bool is_valid_status(unsigned status)
{
    constexpr unsigned first_informational = 100;
    constexpr unsigned last_server_error = 599;
    return status >= first_informational && status <= last_server_error;
}

} // namespace bilberrylead

#endif
