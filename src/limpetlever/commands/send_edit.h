#ifndef LIMPETLEVER_COMMANDS_SEND_EDIT_H_
#define LIMPETLEVER_COMMANDS_SEND_EDIT_H_

#include <string>

#include "commands/exit_code.h"
#include "commands/operator_options.h"
#include "table/edit_request.h"

namespace limpetlever {

/** Returns an edit with a new id, the author from the option --author and no changes. */
edit_request MakeEdit(const operator_options& options, const std::string& summary);

/** Adds the option --author, whose default is the login name of the user. */
void AddAuthorOption(boost::program_options::options_description& options);

/**
 * Sends an edit (the body of POST /v1/table), waits up to 4 s until it is in force on all hosts and
 * prints the outcome. If the answer is lost, the edit is sent to another host; its id ensures
 * that it takes effect only once.
 */
exit_code SendEdit(const operator_options& options, const std::string& body);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_SEND_EDIT_H_
