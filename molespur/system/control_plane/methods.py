"""Methods of the RPC calls that a control-plane process serves to its peers and to the operator's client."""

PUT_WORKER = "put-worker"
REMOVE_WORKER = "remove-worker"
READ_INDEX = "read-index"
IS_LEADER = "leads"
LIST_SCHEDULERS = "schedulers"
