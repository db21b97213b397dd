"""Names of the calls that a control-plane process carries out for others, or for the operators' command."""

PUT_WORKER = "put-worker"
REMOVE_WORKER = "remove-worker"
READ_INDEX = "read-index"
IS_LEADER = "leads"
LIST_SCHEDULERS = "schedulers"
