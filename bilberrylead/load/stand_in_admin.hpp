#ifndef BILBERRYLEAD_LOAD_STAND_IN_ADMIN_HPP
#define BILBERRYLEAD_LOAD_STAND_IN_ADMIN_HPP

#include "bilberrylead/core/time.hpp"

#include <span>
#include <string>
#include <string_view>

namespace bilberrylead::load
{

struct stand_in_upstream;

/// What an admin, load or health request is answered.
struct admin_answer
{
    /// HTTP status.
    unsigned status = 200;
    /// JSON.
    std::string body;
};

/// One admin, load or health request.
struct admin_request
{
    /// GET, PUT or POST.
    std::string_view method;
    /// Path without query.
    std::string_view path;
    /// What follows the question mark.
    std::string_view query;
    /// The body as sent.
    std::string_view body;
};

/// True for paths that handle_admin answers.
bool is_admin_path(std::string_view path);

/// Answers for some upstreams: those that the query's port= names, or all.
admin_answer handle_admin(admin_request const& request,
                          std::span<stand_in_upstream* const> upstreams,
                          instant now, wall_time wall);

/// The value of one field of a query, empty if it has none.
std::string_view query_field(std::string_view query, std::string_view name);

} // namespace bilberrylead::load

#endif
