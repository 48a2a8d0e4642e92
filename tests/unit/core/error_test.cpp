#include "bilberrylead/core/error.hpp"

#include <criterion/criterion.h>

#include <string>

using bilberrylead::error_kind;
using bilberrylead::kind_of;
using bilberrylead::make_error;

Test(error, every_kind_when_made_keeps_its_kind)
{
    for (int number = 0; number <= static_cast<int>(error_kind::connection);
         ++number)
    {
        error_kind const kind = static_cast<error_kind>(number);
        absl::Status const status = make_error(kind, "It broke.", "Mend it.");
        cr_assert(kind_of(status) == kind);
    }
}

Test(error, message_when_made_names_kind_fault_and_remedy)
{
    absl::Status const status = make_error(
        error_kind::conflict, "Revision 7 was taken.", "Fetch and retry.");
    cr_assert_eq(std::string(status.message()),
                 "conflict: Revision 7 was taken. Fetch and retry.");
}

Test(error, foreign_status_when_asked_has_no_kind)
{
    cr_assert_not(kind_of(absl::InternalError("other")).has_value());
}
