/// \file
/// Whole validation of a submitted configuration, before any of it is put in
/// force.

#ifndef PSP_CONTROL_CONFIGURATIONCHECK_H
#define PSP_CONTROL_CONFIGURATIONCHECK_H

#include "generated/control.pb.h"

namespace psp::control {

/// Throws UserError(InvalidConfiguration) naming the field when \p Next is
/// not a configuration that may follow \p InForce.
///
/// Schemas only grow: every name and version of \p InForce must stand in
/// \p Next with the same content, so that old records stay readable.
void checkConfiguration(const messages::Configuration &Next,
                        const messages::Configuration &InForce);

/// Throws UserError(BadRequest) when \p Message, or a message inside it,
/// carries a field that this version of the program doesn't know.
void refuseUnknownFields(const google::protobuf::Message &Message);

} // namespace psp::control

#endif
